package org.boragethread.standins.harness;

import org.boragethread.standins.upstream.UpstreamSettings;

/** The processes of a deployment before they are started. */
public final class NodeSpec {

    private NodeSpec() {}

    /**
     * An entry.
     *
     * @param id name of the entry
     * @param dataCentre its data centre
     * @param settings further TOML sections
     */
    public record Entry(String id, String dataCentre, String settings) {}

    /**
     * An upstream with the agent beside it.
     *
     * @param upstream settings of the stand-in
     * @param group group of the upstream
     * @param dataCentre its data centre
     * @param settings further TOML sections of the agent
     */
    public record Agent(
            UpstreamSettings upstream, String group, String dataCentre, String settings) {}
}
