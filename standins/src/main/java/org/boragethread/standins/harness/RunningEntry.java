package org.boragethread.standins.harness;

/**
 * A started entry.
 *
 * @param spec what it was started from
 * @param process its process
 * @param callers address for callers
 * @param operators address for operators
 */
public record RunningEntry(
        NodeSpec.Entry spec, JavaProcess process, String callers, String operators) {

    /** Returns a client of its operators' interface. */
    public OperatorClient operator() {
        return new OperatorClient(operators, SettingsText.TOKEN);
    }
}
