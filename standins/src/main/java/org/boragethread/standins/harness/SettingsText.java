package org.boragethread.standins.harness;

/** Texts of settings files. */
final class SettingsText {

    static final String TOKEN = "operator-token-of-tests";
    private static final String KEY = "shared-key-of-tests-0123456789abcdef";

    private SettingsText() {}

    static String entry(NodeSpec.Entry entry, String platform, String listen, String operators) {
        return """
        [entry]
        id = "%s"
        data_centre = "%s"
        listen = "%s"
        operator_listen = "%s"
        operator_token = "%s"
        shared_key = "%s"
        drain_ms = 300
        grace_ms = 15000

        [platform]
        address = "%s"
        list_interval_ms = 200

        %s
        """
                .formatted(
                        entry.id(),
                        entry.dataCentre(),
                        listen,
                        operators,
                        TOKEN,
                        KEY,
                        platform,
                        entry.settings());
    }

    static String agent(NodeSpec.Agent agent, String upstream, String listen) {
        return """
        [agent]
        data_centre = "%s"
        listen = "%s"
        monitor_listen = "127.0.0.1:0"
        shared_key = "%s"
        grace_ms = 15000

        [upstream]
        id = "%s"
        group = "%s"
        address = "%s"

        %s
        """
                .formatted(
                        agent.dataCentre(),
                        listen,
                        KEY,
                        agent.upstream().name(),
                        agent.group(),
                        upstream,
                        agent.settings());
    }
}
