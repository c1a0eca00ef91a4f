package org.boragethread.process.command;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Function;
import org.boragethread.process.settings.SettingsProblem;
import org.boragethread.process.settings.SettingsReader;

/** Loads a settings file for a sub-command. */
public final class SettingsFile {

    private SettingsFile() {}

    /**
     * Reads and validates a settings file.
     *
     * @param build creates the settings from the reader and records problems in it
     * @return the settings, or all problems found
     */
    public static <T> Either<List<SettingsProblem>, T> load(
            Path path, Function<SettingsReader, T> build) {
        String text;
        try {
            text = Files.readString(path);
        } catch (IOException e) {
            return Either.left(
                    List.of(
                            new SettingsProblem(
                                    path.toString(), "", "", "specify a readable file")));
        }
        SettingsReader reader = new SettingsReader(path.toString(), text);
        T settings = build.apply(reader);
        List<SettingsProblem> problems = reader.problems();
        return problems.isEmpty() ? Either.right(settings) : Either.left(problems);
    }
}
