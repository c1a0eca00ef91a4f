package org.boragethread.process.command;

/** A sub-command. Its fields are annotated with args4j options. */
public interface Command {

    /** Returns a one-line description for the help text. */
    String summary();

    /**
     * Runs the command.
     *
     * @return the exit code, see {@link ExitCode}
     */
    int run();
}
