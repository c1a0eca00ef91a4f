package org.boragethread.agent.command;

import org.boragethread.agent.serve.AgentProcess;
import org.boragethread.agent.settings.AgentSettings;
import org.boragethread.process.command.ExitCode;
import org.boragethread.process.command.SettingsCommand;
import org.boragethread.process.command.StopSignal;
import org.boragethread.process.settings.SettingsReader;

/** Serves until a stop signal arrives, then ends running work. */
public final class ServeCommand extends SettingsCommand<AgentSettings> {

    @Override
    public String summary() {
        return "serves until it is told to stop";
    }

    @Override
    protected AgentSettings read(SettingsReader reader) {
        return AgentSettings.read(reader);
    }

    @Override
    protected int run(AgentSettings settings) {
        AgentProcess process = new AgentProcess(settings);
        StopSignal signal = StopSignal.install();
        process.start();
        signal.await();
        process.stop();
        signal.finish();
        return ExitCode.OK;
    }
}
