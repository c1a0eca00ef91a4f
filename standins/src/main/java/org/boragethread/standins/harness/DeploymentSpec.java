package org.boragethread.standins.harness;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.boragethread.standins.harness.ConfigDocuments.Change;
import org.boragethread.standins.platform.PlatformSettings;
import org.boragethread.standins.upstream.UpstreamSettings;

/** What a deployment consists of. */
public final class DeploymentSpec {

    private final List<NodeSpec.Entry> mEntries;
    private final List<NodeSpec.Agent> mAgents;
    private final List<Change> mChanges;
    private final OptionalLong mProxySeed;
    private final OptionalLong mPlatformProxySeed;
    private final List<String> mEntryJvm;
    private final List<String> mAgentJvm;
    private final PlatformSettings mPlatform;

    private DeploymentSpec(Builder builder) {
        mEntries = List.copyOf(builder.mEntries);
        mAgents = List.copyOf(builder.mAgents);
        mChanges = List.copyOf(builder.mChanges);
        mProxySeed = builder.mProxySeed;
        mPlatformProxySeed = builder.mPlatformProxySeed;
        mEntryJvm = builder.mEntryJvm;
        mAgentJvm = builder.mAgentJvm;
        mPlatform = builder.mPlatform;
    }

    List<NodeSpec.Entry> entries() {
        return mEntries;
    }

    List<NodeSpec.Agent> agents() {
        return mAgents;
    }

    List<Change> changes() {
        return mChanges;
    }

    OptionalLong proxySeed() {
        return mProxySeed;
    }

    OptionalLong platformProxySeed() {
        return mPlatformProxySeed;
    }

    List<String> entryJvm() {
        return mEntryJvm;
    }

    List<String> agentJvm() {
        return mAgentJvm;
    }

    PlatformSettings platform() {
        return mPlatform;
    }

    /** Makes specifications. */
    public static final class Builder {
        private final List<NodeSpec.Entry> mEntries = new ArrayList<>();
        private final List<NodeSpec.Agent> mAgents = new ArrayList<>();
        private final List<Change> mChanges = new ArrayList<>();
        private OptionalLong mProxySeed = OptionalLong.empty();
        private OptionalLong mPlatformProxySeed = OptionalLong.empty();
        private List<String> mEntryJvm = List.of("-Xmx256m", "-XX:TieredStopAtLevel=1");
        private List<String> mAgentJvm =
                List.of("-Xmx96m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");
        private PlatformSettings mPlatform = PlatformSettings.DEFAULTS;
        private Optional<String> mEntrySettings = Optional.empty();
        private Optional<String> mAgentSettings = Optional.empty();

        /** Adds TOML sections to the settings of entries that are added later. */
        public Builder entrySettings(String sections) {
            mEntrySettings = Optional.of(sections);
            return this;
        }

        /** Adds TOML sections to the settings of agents that are added later. */
        public Builder agentSettings(String sections) {
            mAgentSettings = Optional.of(sections);
            return this;
        }

        /** Adds an entry. */
        public Builder entry(String id, String dataCentre) {
            mEntries.add(new NodeSpec.Entry(id, dataCentre, mEntrySettings.orElse("")));
            return this;
        }

        /** Adds an upstream with its agent. */
        public Builder upstream(UpstreamSettings upstream, String group, String dataCentre) {
            String settings = mAgentSettings.orElse("");
            mAgents.add(new NodeSpec.Agent(upstream, group, dataCentre, settings));
            return this;
        }

        /** Adds changes to the first configuration. */
        public Builder configure(Change... changes) {
            mChanges.addAll(List.of(changes));
            return this;
        }

        /** Puts fault proxies before and behind each agent. */
        public Builder proxied(long seed) {
            mProxySeed = OptionalLong.of(seed);
            return this;
        }

        /** Puts a fault proxy between each entry and the platform. */
        public Builder platformProxied(long seed) {
            mPlatformProxySeed = OptionalLong.of(seed);
            return this;
        }

        /** Sets the JVM options of entries. */
        public Builder entryJvm(String... options) {
            mEntryJvm = List.of(options);
            return this;
        }

        /** Sets the JVM options of agents. */
        public Builder agentJvm(String... options) {
            mAgentJvm = List.of(options);
            return this;
        }

        /** Sets the platform's settings. */
        public Builder platform(PlatformSettings settings) {
            mPlatform = settings;
            return this;
        }

        /** Returns the specification. */
        public DeploymentSpec build() {
            return new DeploymentSpec(this);
        }
    }
}
