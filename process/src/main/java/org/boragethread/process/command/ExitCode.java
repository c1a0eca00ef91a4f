package org.boragethread.process.command;

/** Exit codes of both binaries. */
public final class ExitCode {

    /** The command did what was asked. */
    public static final int OK = 0;

    /** The command was refused or failed while running. */
    public static final int FAILED = 1;

    /** The command line or the settings are wrong. */
    public static final int USAGE = 2;

    private ExitCode() {}
}
