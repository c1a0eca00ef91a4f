package org.boragethread.entry.gateway;

import org.boragethread.process.command.ExitCode;
import org.boragethread.process.command.SettingsCommand;
import org.boragethread.process.settings.SettingsReader;

/** Validates the settings of a gateway without starting it. */
public final class GatewayCheckCommand extends SettingsCommand<GatewaySettings> {

    @Override
    public String summary() {
        return "checks the settings of a gateway";
    }

    @Override
    protected GatewaySettings read(SettingsReader reader) {
        return GatewaySettings.read(reader);
    }

    @Override
    protected int run(GatewaySettings settings) {
        System.out.println("settings are good");
        return ExitCode.OK;
    }
}
