package org.boragethread.entry;

import org.boragethread.entry.command.CheckCommand;
import org.boragethread.entry.command.CheckConfigCommand;
import org.boragethread.entry.command.ConfirmCommand;
import org.boragethread.entry.command.ExplainCommand;
import org.boragethread.entry.command.IntentCommand;
import org.boragethread.entry.command.JobCommand;
import org.boragethread.entry.command.ServeCommand;
import org.boragethread.entry.command.StatusCommand;
import org.boragethread.entry.gateway.GatewayCheckCommand;
import org.boragethread.entry.gateway.GatewayCommand;
import org.boragethread.entry.gateway.LoadClassesCommand;
import org.boragethread.process.command.CommandLine;

/** Main class of the program {@code boragethread-entry}. */
public final class EntryMain {

    private EntryMain() {}

    /** Runs the subcommand named by the arguments and exits with its exit code. */
    public static void main(String[] arguments) {
        CommandLine commands =
                new CommandLine("boragethread-entry", System.out, System.err)
                        .add("serve", ServeCommand::new)
                        .add("gateway", GatewayCommand::new)
                        .add("check-gateway", GatewayCheckCommand::new)
                        .add("load-classes", LoadClassesCommand::new)
                        .add("check", CheckCommand::new)
                        .add("check-config", CheckConfigCommand::new)
                        .add("intent", IntentCommand::new)
                        .add("confirm", ConfirmCommand::new)
                        .add("status", StatusCommand::new)
                        .add("explain", ExplainCommand::new)
                        .add("job", JobCommand::new);
        System.exit(commands.run(arguments));
    }
}
