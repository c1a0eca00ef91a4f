package org.boragethread.agent.command;

import org.boragethread.agent.serve.AgentProcess;
import org.boragethread.agent.settings.AgentSettings;
import org.boragethread.process.command.ServiceRunner;
import org.boragethread.process.command.SettingsCommand;
import org.boragethread.process.settings.SettingsReader;

/** Runs the agent until a stop signal arrives, then drains running calls. */
public final class ServeCommand extends SettingsCommand<AgentSettings> {

    @Override
    public String summary() {
        return "runs the agent until a stop signal arrives";
    }

    @Override
    protected AgentSettings read(SettingsReader reader) {
        return AgentSettings.read(reader);
    }

    @Override
    protected int run(AgentSettings settings) {
        return ServiceRunner.run(new AgentProcess(settings));
    }
}
