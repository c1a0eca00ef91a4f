package org.boragethread.standins.platform;

/**
 * A VM in the platform's list.
 *
 * @param id name of the VM
 * @param host IP address
 * @param port port of the agent on the VM
 * @param dataCentre data centre of the VM
 * @param state {@code live} or {@code leaving}
 */
public record Vm(String id, String host, int port, String dataCentre, String state) {}
