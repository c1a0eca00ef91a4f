package org.boragethread.agent.command;

import org.boragethread.agent.settings.AgentSettings;
import org.boragethread.process.command.ExitCode;
import org.boragethread.process.command.SettingsCommand;
import org.boragethread.process.settings.SettingsReader;

/** Checks a settings file without starting the agent. */
public final class CheckCommand extends SettingsCommand<AgentSettings> {

    @Override
    public String summary() {
        return "checks a settings file";
    }

    @Override
    protected AgentSettings read(SettingsReader reader) {
        return AgentSettings.read(reader);
    }

    @Override
    protected int run(AgentSettings settings) {
        System.out.println("settings are good");
        return ExitCode.OK;
    }
}
