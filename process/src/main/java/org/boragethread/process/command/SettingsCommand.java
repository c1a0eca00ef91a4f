package org.boragethread.process.command;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;
import org.boragethread.process.settings.SettingsProblem;
import org.boragethread.process.settings.SettingsReader;
import org.kohsuke.args4j.Option;

/** A sub-command with a settings file. If the file has problems, it prints them all and exits. */
public abstract class SettingsCommand<T> implements Command {

    @Option(name = "--settings", required = true, metaVar = "FILE", usage = "settings in TOML")
    private Path mSettings;

    /** Creates the settings; problems are recorded in the reader. */
    protected abstract T read(SettingsReader reader);

    /** Runs the command with valid settings and returns the exit code. */
    protected abstract int run(T settings);

    /** Returns the path of the settings file. */
    protected final Path settingsFile() {
        return mSettings;
    }

    @Override
    public final int run() {
        Either<List<SettingsProblem>, T> settings = SettingsFile.load(mSettings, this::read);
        if (settings.isLeft()) {
            settings.getLeft().forEach(problem -> System.err.println(problem));
            return ExitCode.USAGE;
        }
        return run(settings.get());
    }
}
