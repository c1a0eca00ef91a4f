package org.boragethread.entry.gateway;

import org.boragethread.process.command.ServiceRunner;
import org.boragethread.process.command.SettingsCommand;
import org.boragethread.process.command.SettingsFile;
import org.boragethread.process.settings.SettingsReader;

/** Runs a gateway until a stop signal arrives, then drains active requests and exits. */
public final class GatewayCommand extends SettingsCommand<GatewaySettings> {

    @Override
    public String summary() {
        return "serves configured routes, calling their upstreams directly";
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
