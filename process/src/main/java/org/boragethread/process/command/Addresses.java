package org.boragethread.process.command;

import java.net.InetSocketAddress;

/** Prints addresses. */
public final class Addresses {

    private Addresses() {}

    /** Returns an address as IP:port. */
    public static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
