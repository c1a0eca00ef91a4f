package org.boragethread.process.command;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** Selects the sub-command of a program, parses its options and runs it. */
public final class CommandLine {

    private final String mProgram;
    private final PrintStream mOut;
    private final PrintStream mErr;
    private final Map<String, Supplier<Command>> mCommands = new LinkedHashMap<>();

    /** Creates the command line of a program, without sub-commands. */
    public CommandLine(String program, PrintStream out, PrintStream err) {
        mProgram = program;
        mOut = out;
        mErr = err;
    }

    /** Adds a sub-command. */
    public CommandLine add(String name, Supplier<Command> command) {
        mCommands.put(name, command);
        return this;
    }

    /**
     * Runs the sub-command named by the first argument, or prints the help or version.
     *
     * @return the exit code
     */
    public int run(String... arguments) {
        if (arguments.length == 0) {
            printUsage(mErr);
            return ExitCode.USAGE;
        }
        switch (arguments[0]) {
            case "--help", "-h", "help" -> {
                printUsage(mOut);
                return ExitCode.OK;
            }
            case "--version" -> {
                mOut.println(mProgram + " " + version());
                return ExitCode.OK;
            }
            default -> {
                return runCommand(arguments);
            }
        }
    }

    private int runCommand(String[] arguments) {
        Supplier<Command> supplier = mCommands.get(arguments[0]);
        if (supplier == null) {
            mErr.printf("%s: unknown command \"%s\"%n", mProgram, arguments[0]);
            printUsage(mErr);
            return ExitCode.USAGE;
        }
        Command command = supplier.get();
        CmdLineParser parser = new CmdLineParser(command);
        String[] options = Arrays.copyOfRange(arguments, 1, arguments.length);
        if (Arrays.asList(options).contains("--help")) {
            printHelp(arguments[0], command, parser, mOut);
            return ExitCode.OK;
        }
        try {
            parser.parseArgument(options);
        } catch (CmdLineException e) {
            mErr.printf("%s %s: %s%n", mProgram, arguments[0], e.getMessage());
            printHelp(arguments[0], command, parser, mErr);
            return ExitCode.USAGE;
        }
        return command.run();
    }

    private void printUsage(PrintStream out) {
        out.printf("usage: %s COMMAND [options]%n%n", mProgram);
        mCommands.forEach(
                (name, command) -> out.printf("  %-10s %s%n", name, command.get().summary()));
        out.printf("%n  --help, --version%n");
        out.printf("%s COMMAND --help lists the options of a command.%n", mProgram);
    }

    private void printHelp(String name, Command command, CmdLineParser parser, PrintStream out) {
        out.printf("usage: %s %s [options]%n%s%n%n", mProgram, name, command.summary());
        parser.printUsage(out);
    }

    /** Returns the version in the program's JAR file, or "development" if it has none. */
    private static String version() {
        return Optional.ofNullable(CommandLine.class.getPackage().getImplementationVersion())
                .orElse("development");
    }
}
