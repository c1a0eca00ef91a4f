package org.boragethread.entry.command;

import org.boragethread.entry.settings.EntrySettings;
import org.boragethread.process.command.ExitCode;
import org.boragethread.process.command.SettingsCommand;
import org.boragethread.process.settings.SettingsReader;

/** Validates a settings file without starting anything. */
public final class CheckCommand extends SettingsCommand<EntrySettings> {

    @Override
    public String summary() {
        return "checks a settings file";
    }

    @Override
    protected EntrySettings read(SettingsReader reader) {
        return EntrySettings.read(reader);
    }

    @Override
    protected int run(EntrySettings settings) {
        System.out.println("settings are good");
        return ExitCode.OK;
    }
}
