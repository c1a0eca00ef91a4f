package org.boragethread.standins.platform;

/**
 * A machine in the platform's list.
 *
 * @param id name of the machine
 * @param host IP address
 * @param port port of the agent in the machine's slot
 * @param dataCentre data centre that holds the machine
 * @param state {@code live} or {@code leaving}
 */
public record Vm(String id, String host, int port, String dataCentre, String state) {}
