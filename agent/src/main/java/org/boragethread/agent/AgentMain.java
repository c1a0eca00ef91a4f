package org.boragethread.agent;

import org.boragethread.agent.command.CheckCommand;
import org.boragethread.agent.command.ServeCommand;
import org.boragethread.process.command.CommandLine;

/** The program {@code boragethread-agent}. */
public final class AgentMain {

    private AgentMain() {}

    /** Runs the command that the arguments name and exits with its code. */
    public static void main(String[] arguments) {
        CommandLine commands =
                new CommandLine("boragethread-agent", System.out, System.err)
                        .add("serve", ServeCommand::new)
                        .add("check", CheckCommand::new);
        System.exit(commands.run(arguments));
    }
}
