package org.boragethread.standins.harness;

import java.util.ArrayList;
import java.util.List;

/** What to start: a main class with its arguments and JVM options. */
public final class Launch {

    private final String mName;
    private final String mMainClass;
    private final List<String> mJvmOptions;
    private final List<String> mArguments;

    private Launch(Builder builder) {
        mName = builder.mName;
        mMainClass = builder.mMainClass;
        mJvmOptions = List.copyOf(builder.mJvmOptions);
        mArguments = List.copyOf(builder.mArguments);
    }

    /** Returns a builder for a process that runs a main class. */
    public static Builder of(String name, String mainClass) {
        return new Builder(name, mainClass);
    }

    String name() {
        return mName;
    }

    List<String> command(String java, String classPath) {
        List<String> command = new ArrayList<>();
        command.add(java);
        command.addAll(mJvmOptions);
        command.add("-cp");
        command.add(classPath);
        command.add(mMainClass);
        command.addAll(mArguments);
        return command;
    }

    /** Makes launches. */
    public static final class Builder {
        private final String mName;
        private final String mMainClass;
        private final List<String> mJvmOptions = new ArrayList<>();
        private final List<String> mArguments = new ArrayList<>();

        private Builder(String name, String mainClass) {
            mName = name;
            mMainClass = mainClass;
        }

        /** Adds JVM options. */
        public Builder jvm(String... options) {
            mJvmOptions.addAll(List.of(options));
            return this;
        }

        /** Adds arguments of the main class. */
        public Builder args(String... arguments) {
            mArguments.addAll(List.of(arguments));
            return this;
        }

        /** Returns the launch. */
        public Launch build() {
            return new Launch(this);
        }
    }
}
