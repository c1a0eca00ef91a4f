package org.boragethread.entry.gateway;

import org.boragethread.process.command.ServiceRunner;
import org.boragethread.process.command.SettingsCommand;
import org.boragethread.process.command.SettingsFile;
import org.boragethread.process.settings.SettingsReader;

/** Serves routes until a stop signal arrives, then ends running work. */
public final class GatewayCommand extends SettingsCommand<GatewaySettings> {

    @Override
    public String summary() {
        return "serves routes to upstreams that it calls directly";
    }

    @Override
    protected GatewaySettings read(SettingsReader reader) {
        return GatewaySettings.read(reader);
    }

    @Override
    protected int run(GatewaySettings settings) {
        GatewayProcess process = new GatewayProcess(settings);
        ReloadSignal.listen(
                () -> process.reload(SettingsFile.load(settingsFile(), GatewaySettings::read)));
        return ServiceRunner.run(process);
    }
}
