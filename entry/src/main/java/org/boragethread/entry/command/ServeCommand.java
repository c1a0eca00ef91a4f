package org.boragethread.entry.command;

import org.boragethread.entry.serve.EntryProcess;
import org.boragethread.entry.settings.EntrySettings;
import org.boragethread.process.command.ServiceRunner;
import org.boragethread.process.command.SettingsCommand;
import org.boragethread.process.settings.SettingsReader;

/** Serves until a stop signal arrives, then shuts down gracefully. */
public final class ServeCommand extends SettingsCommand<EntrySettings> {

    @Override
    public String summary() {
        return "serves until it is told to stop";
    }

    @Override
    protected EntrySettings read(SettingsReader reader) {
        return EntrySettings.read(reader);
    }

    @Override
    protected int run(EntrySettings settings) {
        return ServiceRunner.run(new EntryProcess(settings));
    }
}
