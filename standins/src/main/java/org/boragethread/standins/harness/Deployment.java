package org.boragethread.standins.harness;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.boragethread.standins.platform.PlatformStandIn;
import org.boragethread.standins.platform.Vm;
import org.boragethread.standins.proxy.FaultProxy;
import org.boragethread.standins.upstream.Upstream;
import org.boragethread.standins.upstream.UpstreamFleet;

/**
 * A running deployment: entries and agents as processes, platform, upstreams and fault proxies in
 * this JVM.
 */
public final class Deployment implements AutoCloseable {

    /** Token of the operators' interface of every entry. */
    public static final String OPERATOR_TOKEN = SettingsText.TOKEN;

    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
    private static final String ANY_PORT = "127.0.0.1:0";
    private static final String ENTRY_MAIN = "org.boragethread.entry.EntryMain";
    private static final String AGENT_MAIN = "org.boragethread.agent.AgentMain";

    private final DeploymentSpec mSpec;
    private final Path mDirectory;
    private final ProcessHarness mHarness = new ProcessHarness();
    private final PlatformStandIn mPlatform;
    private final UpstreamFleet mFleet;
    private final Map<String, RunningEntry> mEntries = new LinkedHashMap<>();
    private final Map<String, RunningAgent> mAgents = new LinkedHashMap<>();
    private final List<FaultProxy> mProxies = new ArrayList<>();
    private final Map<String, FaultProxy> mToPlatform = new LinkedHashMap<>();
    private final Map<String, String> mVmStates = new LinkedHashMap<>();

    private Deployment(DeploymentSpec spec) throws IOException {
        mSpec = spec;
        mDirectory = Files.createTempDirectory("deployment");
        mPlatform = PlatformStandIn.start(spec.platform(), Clock.systemUTC());
        mFleet = UpstreamFleet.start(spec.agents().stream().map(NodeSpec.Agent::upstream).toList());
    }

    /**
     * Starts a deployment and waits until every entry is ready and connected to every agent.
     *
     * @throws IOException if a port cannot be bound or a settings file cannot be written
     * @throws IllegalStateException if a process does not become ready
     */
    public static Deployment start(DeploymentSpec spec) throws IOException {
        Deployment deployment = new Deployment(spec);
        try {
            deployment.startAll();
            return deployment;
        } catch (RuntimeException e) {
            deployment.close();
            throw e;
        }
    }

    /** Returns the platform's stand-in. */
    public PlatformStandIn platform() {
        return mPlatform;
    }

    /** Returns an upstream. */
    public Upstream upstream(String name) {
        return mFleet.upstream(name);
    }

    /** Returns all upstreams. */
    public List<Upstream> upstreams() {
        return List.copyOf(mFleet.upstreams());
    }

    /** Returns all entries in the order of the specification. */
    public List<RunningEntry> entries() {
        return List.copyOf(mEntries.values());
    }

    /** Returns all agents in the order of the specification. */
    public List<RunningAgent> agents() {
        return List.copyOf(mAgents.values());
    }

    /** Returns the agent beside an upstream. */
    public RunningAgent agent(String upstream) {
        return mAgents.get(upstream);
    }

    /** Returns the proxy between an entry and the platform; the specification must ask for it. */
    public FaultProxy platformProxy(String entry) {
        return mToPlatform.get(entry);
    }

    /** Returns the addresses for callers of all entries. */
    public List<String> callerAddresses() {
        return mEntries.values().stream().map(RunningEntry::callers).toList();
    }

    /** Shows an upstream's machine in the platform's list as live or leaving. */
    public void setVmState(String upstream, String state) {
        mVmStates.put(upstream, state);
        publishVms();
    }

    /** Starts an ended entry again on the same addresses. */
    public RunningEntry restartEntry(String id) {
        RunningEntry old = mEntries.get(id);
        JavaProcess process = launchEntry(old.spec(), old.callers(), old.operators());
        return addEntry(old.spec(), process);
    }

    /** Starts an ended agent again on the same address. */
    public RunningAgent restartAgent(String upstream) {
        RunningAgent old = mAgents.get(upstream);
        JavaProcess process = launchAgent(old.spec(), upstreamAddress(old), old.address());
        return addAgent(old.spec(), process, old.fromEntries(), old.toUpstream());
    }

    /** Waits until every entry is ready and connected to every agent. */
    public void awaitConnected() {
        for (RunningEntry entry : mEntries.values()) {
            Await.until(
                    entry.spec().id() + " is ready and connected to all agents",
                    START_TIMEOUT,
                    () -> isConnected(entry));
        }
    }

    @Override
    public void close() {
        mHarness.close();
        mProxies.forEach(FaultProxy::close);
        mFleet.close();
        mPlatform.close();
        deleteDirectory();
    }

    private void startAll() {
        Map<NodeSpec.Agent, JavaProcess> agents = new LinkedHashMap<>();
        Map<NodeSpec.Agent, Optional<FaultProxy>> toUpstreams = new LinkedHashMap<>();
        for (NodeSpec.Agent agent : mSpec.agents()) {
            String upstream = mFleet.upstream(agent.upstream().name()).address();
            Optional<FaultProxy> proxy = proxy(upstream);
            toUpstreams.put(agent, proxy);
            String target = proxy.map(FaultProxy::address).orElse(upstream);
            agents.put(agent, launchAgent(agent, target, ANY_PORT));
        }
        Map<NodeSpec.Entry, JavaProcess> entries = new LinkedHashMap<>();
        for (NodeSpec.Entry entry : mSpec.entries()) {
            entries.put(entry, launchEntry(entry, ANY_PORT, ANY_PORT));
        }
        for (NodeSpec.Agent agent : mSpec.agents()) {
            JavaProcess process = agents.get(agent);
            Optional<FaultProxy> proxy = proxy(listening(process, "agent"));
            addAgent(agent, process, proxy, toUpstreams.get(agent));
        }
        publishVms();
        entries.forEach(this::addEntry);
        configure();
        awaitConnected();
    }

    private void configure() {
        RunningEntry first = mEntries.values().iterator().next();
        first.operator().apply(mSpec.changes(), true);
    }

    private boolean isConnected(RunningEntry entry) {
        JsonNode status = entry.operator().status();
        long serving = 0;
        for (JsonNode upstream : status.path("upstreams")) {
            String state = upstream.path("state").asText();
            serving += "serving".equals(state) || "cold".equals(state) ? 1 : 0;
        }
        return "yes".equals(status.path("ready").asText())
                && !status.path("pipelines").isEmpty()
                && serving == mAgents.size();
    }

    private Optional<FaultProxy> proxy(String target) {
        return proxy(target, mSpec.proxySeed());
    }

    private Optional<FaultProxy> proxy(String target, OptionalLong seed) {
        if (seed.isEmpty()) {
            return Optional.empty();
        }
        FaultProxy proxy = FaultProxy.start(target, seed.getAsLong() + mProxies.size());
        mProxies.add(proxy);
        return Optional.of(proxy);
    }

    private String upstreamAddress(RunningAgent agent) {
        return agent.toUpstream()
                .map(FaultProxy::address)
                .orElseGet(() -> mFleet.upstream(agent.name()).address());
    }

    private JavaProcess launchAgent(NodeSpec.Agent agent, String upstream, String listen) {
        String name = "agent-" + agent.upstream().name();
        String text = SettingsText.agent(agent, upstream, listen);
        return launch(name, AGENT_MAIN, mSpec.agentJvm(), text);
    }

    private JavaProcess launchEntry(NodeSpec.Entry entry, String listen, String operators) {
        String text = SettingsText.entry(entry, platformAddress(entry), listen, operators);
        return launch(entry.id(), ENTRY_MAIN, mSpec.entryJvm(), text);
    }

    private String platformAddress(NodeSpec.Entry entry) {
        if (!mToPlatform.containsKey(entry.id())) {
            proxy(mPlatform.address(), mSpec.platformProxySeed())
                    .ifPresent(p -> mToPlatform.put(entry.id(), p));
        }
        return Optional.ofNullable(mToPlatform.get(entry.id()))
                .map(FaultProxy::address)
                .orElse(mPlatform.address());
    }

    private JavaProcess launch(String name, String main, List<String> jvm, String settings) {
        Path file = mDirectory.resolve(name + ".toml");
        try {
            Files.writeString(file, settings);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return mHarness.start(
                Launch.of(name, main)
                        .jvm("-Djava.net.preferIPv4Stack=true")
                        .jvm(jvm.toArray(String[]::new))
                        .args("serve", "--settings", file.toString())
                        .build());
    }

    private RunningEntry addEntry(NodeSpec.Entry spec, JavaProcess process) {
        String callers = listening(process, "callers");
        String operators = listening(process, "operators");
        RunningEntry entry = new RunningEntry(spec, process, callers, operators);
        mEntries.put(spec.id(), entry);
        return entry;
    }

    private RunningAgent addAgent(
            NodeSpec.Agent spec,
            JavaProcess process,
            Optional<FaultProxy> fromEntries,
            Optional<FaultProxy> toUpstream) {
        String address = listening(process, "agent");
        String monitor = listening(process, "monitor");
        RunningAgent agent =
                new RunningAgent(spec, process, address, monitor, fromEntries, toUpstream);
        mAgents.put(agent.name(), agent);
        return agent;
    }

    private static String listening(JavaProcess process, String what) {
        Pattern line = Pattern.compile("^listening " + what + " (\\S+)");
        return process.awaitLine(line, START_TIMEOUT);
    }

    private void publishVms() {
        List<Vm> vms = new ArrayList<>();
        for (RunningAgent agent : mAgents.values()) {
            String address = agent.listedAddress();
            int colon = address.lastIndexOf(':');
            int port = Integer.parseInt(address.substring(colon + 1));
            String state = mVmStates.getOrDefault(agent.name(), "live");
            String dataCentre = agent.spec().dataCentre();
            vms.add(new Vm("vm-" + agent.name(), "127.0.0.1", port, dataCentre, state));
        }
        mPlatform.setVms(vms);
    }

    private void deleteDirectory() {
        try (Stream<Path> files = Files.walk(mDirectory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        } catch (IOException e) {
            throw new UncheckedIOException("cannot delete " + mDirectory, e);
        }
    }
}
