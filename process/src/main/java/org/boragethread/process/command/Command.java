package org.boragethread.process.command;

/** A sub-command; its fields carry args4j options. */
public interface Command {

    /** Returns what the command does, in one line for the help text. */
    String summary();

    /**
     * Runs the command.
     *
     * @return the exit code, see {@link ExitCode}
     */
    int run();
}
