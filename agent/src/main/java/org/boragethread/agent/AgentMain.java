package org.boragethread.agent;

import org.boragethread.agent.command.CheckCommand;
import org.boragethread.agent.command.ServeCommand;
import org.boragethread.process.command.CommandLine;

/** Entry point of the program {@code boragethread-agent}. */
public final class AgentMain {

    private AgentMain() {}

    /** Runs the sub-command named by the first argument and exits with its exit code. */
    public static void main(String[] arguments) {
        CommandLine commands =
                new CommandLine("boragethread-agent", System.out, System.err)
                        .add("serve", ServeCommand::new)
                        .add("check", CheckCommand::new);
        System.exit(commands.run(arguments));
    }
}
