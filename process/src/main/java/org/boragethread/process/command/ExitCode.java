package org.boragethread.process.command;

/** Exit codes of the programs. */
public final class ExitCode {

    /** The command succeeded. */
    public static final int OK = 0;

    /** The command was rejected, or failed while running. */
    public static final int FAILED = 1;

    /** The command line or the settings are invalid. */
    public static final int USAGE = 2;

    private ExitCode() {}
}
