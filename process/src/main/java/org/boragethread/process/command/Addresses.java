package org.boragethread.process.command;

import java.net.InetSocketAddress;

/** Formats socket addresses. */
public final class Addresses {

    private Addresses() {}

    /** Returns an address in the form IP:port. */
    public static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
