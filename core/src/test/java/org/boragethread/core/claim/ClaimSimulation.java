package org.boragethread.core.claim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.boragethread.core.record.SimLog;
import org.boragethread.core.record.SimProcess;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.claim.ClaimOutcome;
import org.boragethread.model.claim.ClaimRef;
import org.boragethread.model.claim.ClaimTarget;
import org.boragethread.model.outcome.ExecutionStatus;
import org.boragethread.model.outcome.RequestId;
import org.boragethread.model.place.EntryId;
import org.boragethread.model.team.TeamId;
import org.boragethread.model.upstream.UpstreamId;

/** Seeded simulation of entries, agents, callers and a log that are subject to faults. */
public final class ClaimSimulation {

    static final int KEYS = 6;

    private static final int PARTITIONS = 2;
    private static final int ENTRIES = 3;
    private static final int AGENTS = 2;
    private static final Duration RETENTION = Duration.ofHours(1);
    private static final int MAX_DELAY_MILLIS = 4_000;
    private static final Duration MAX_PAUSE = Duration.ofSeconds(3);

    private final InjectedBugs mBugs;
    private final Optional<Workload> mWorkload;
    private final Random mRandom;
    private final ManualTimeSource mTime = new ManualTimeSource();
    private final SimLog mLog;
    private final List<SimAgent> mAgents = new ArrayList<>();
    private final List<SimEntry> mEntries = new ArrayList<>();
    private final Set<EntryId> mSuspected = new HashSet<>();
    private final Map<String, Integer> mEffects = new HashMap<>();
    private final Map<RequestId, Integer> mEffectsByRequest = new HashMap<>();
    private final Set<RequestId> mReportedNotRun = new HashSet<>();
    private final Map<String, Set<ClaimOutcome>> mOutcomes = new HashMap<>();
    private final Map<String, ExecutionStatus> mLastAnswers = new HashMap<>();
    private int mAnswers;
    private int mIds;

    ClaimSimulation(long seed, InjectedBugs bugs) {
        this(seed, bugs, Optional.empty());
    }

    /** Creates a simulation that takes its calls from the given workload. */
    public ClaimSimulation(long seed, Workload workload) {
        this(seed, InjectedBugs.NONE, Optional.of(workload));
    }

    private ClaimSimulation(long seed, InjectedBugs bugs, Optional<Workload> workload) {
        mBugs = bugs;
        mWorkload = workload;
        mRandom = new Random(seed);
        mLog = new SimLog(mTime, mRandom);
        for (int i = 0; i < AGENTS; i++) {
            UpstreamId id = new UpstreamId("upstream-" + i);
            mAgents.add(new SimAgent(id, mTime, mLog, mRandom, this::countEffect));
        }
        for (int i = 0; i < ENTRIES; i++) {
            startEntry();
        }
    }

    private void startEntry() {
        EntryId id = new EntryId("entry-" + mIds++);
        SimProcess process = new SimProcess(mLog);
        ClaimSettings settings =
                ClaimSettings.builder().partitions(PARTITIONS).retention(RETENTION).build();
        ClaimService service =
                ClaimService.builder()
                        .entry(id)
                        .settings(settings)
                        .table(new ClaimTable(PARTITIONS, RETENTION, mBugs.policy()))
                        .sink(process)
                        .source(process)
                        .scheduler(process)
                        .time(mTime)
                        .liveness(entry -> mSuspected.contains(entry) || mRandom.nextInt(4) == 0)
                        .agents((target, ref, fence) -> queryAgent(process, target, ref, fence))
                        .recordIds(() -> "record-" + mIds++)
                        .build();
        for (int p = 0; p < PARTITIONS; p++) {
            int partition = p;
            process.follow(
                    ClaimSettings.streamName(p),
                    0,
                    r -> service.apply(partition, r.offset(), r.timeMillis(), r.id(), r.data()));
        }
        SimEntry entry = new SimEntry(this, process, id, service);
        mEntries.add(entry);
        mWorkload.ifPresent(workload -> workload.onStart(this, entry));
    }

    private CompletableFuture<Optional<ClaimAnswer>> queryAgent(
            SimProcess process, ClaimTarget target, ClaimRef ref, boolean fence) {
        CompletableFuture<Optional<ClaimAnswer>> answer = new CompletableFuture<>();
        SimAgent agent = agent(target);
        boolean fences = !mBugs.ignoresFence();
        agent.query(ref, target.incarnation(), fence && fences)
                .thenAccept(value -> process.post(() -> answer.complete(value)));
        return answer;
    }

    private SimAgent agent(ClaimTarget target) {
        return mAgents.stream()
                .filter(a -> a.target().upstream().equals(target.upstream()))
                .findFirst()
                .orElseThrow();
    }

    CompletableFuture<SimAgent.Reply> connect(
            ClaimTarget target, ClaimRef ref, ClaimRequest request) {
        SimAgent agent = agent(target);
        if (!agent.target().equals(target) && !mBugs.sendsToAnyIncarnation()) {
            return CompletableFuture.completedFuture(SimAgent.Reply.NOT_RUN);
        }
        return agent.call(ref, request);
    }

    SimAgent anyAgent() {
        return mAgents.get(mRandom.nextInt(AGENTS));
    }

    boolean randomBoolean() {
        return mRandom.nextBoolean();
    }

    Duration randomDelay() {
        boolean isSlow = mRandom.nextInt(5) == 0;
        return Duration.ofMillis(mRandom.nextInt(isSlow ? MAX_DELAY_MILLIS : 20));
    }

    private void countEffect(ClaimRequest request) {
        mEffects.merge(request.key(), 1, Integer::sum);
        mEffectsByRequest.merge(request.request(), 1, Integer::sum);
    }

    /** Sends calls while entries, agents and the log are subject to faults. */
    public void runFaults(int steps) {
        mLog.setFaultProbability(0.2);
        mAgents.forEach(agent -> agent.setFaultProbability(0.15));
        for (int i = 0; i < steps; i++) {
            step();
            mTime.advance(Duration.ofMillis(mRandom.nextInt(120)));
        }
    }

    private void step() {
        int draw = mRandom.nextInt(100);
        SimEntry entry = mEntries.get(mRandom.nextInt(mEntries.size()));
        if (draw < 60) {
            send(entry);
        } else if (draw < 72) {
            pauseTemporarily(entry.process());
        } else if (draw < 77) {
            pauseTemporarily(anyAgent().process());
        } else if (draw < 82) {
            replace(entry);
        } else if (draw < 86) {
            anyAgent().restart();
        } else if (draw < 89) {
            mLog.setUnavailable(true);
            mTime.schedule(MAX_PAUSE, () -> mLog.setUnavailable(false));
        }
    }

    private void send(SimEntry entry) {
        if (mWorkload.isPresent()) {
            mWorkload.get().onStep(entry);
        } else {
            call(entry, mRandom.nextInt(KEYS));
        }
    }

    private void pauseTemporarily(SimProcess process) {
        process.pause();
        Duration length = Duration.ofMillis(mRandom.nextInt((int) MAX_PAUSE.toMillis()));
        mTime.schedule(length, process::resume);
        if (randomBoolean()) {
            mEntries.stream()
                    .filter(e -> e.process() == process)
                    .forEach(e -> mSuspected.add(e.id()));
        }
    }

    private void replace(SimEntry entry) {
        entry.process().kill();
        mEntries.remove(entry);
        mSuspected.add(entry.id());
        startEntry();
    }

    private void call(SimEntry entry, int key) {
        RequestId request = new RequestId(1, mIds++);
        String name = "key-" + key;
        ClaimRequest effect = new ClaimRequest(new TeamId("patrol"), name, key, request, 0);
        entry.process().post(() -> entry.call(effect, answer -> onAnswer(effect, answer)));
    }

    private void onAnswer(ClaimRequest effect, SimEntry.Answer answer) {
        mAnswers++;
        mLastAnswers.put(effect.key(), answer.ran());
        if (answer.ran() == ExecutionStatus.NO) {
            mReportedNotRun.add(effect.request());
        }
        answer.outcome()
                .ifPresent(
                        o -> mOutcomes.computeIfAbsent(effect.key(), k -> new HashSet<>()).add(o));
    }

    /** Ends all faults and waits until pending work has settled. */
    public void endFaults() {
        mLog.setFaultProbability(0);
        mAgents.forEach(agent -> agent.setFaultProbability(0));
        mTime.advance(Duration.ofSeconds(15));
    }

    /** Ends all faults and repeats a call for each key. */
    void endFaultsAndRepeatKeys() {
        endFaults();
        mLastAnswers.clear();
        for (int key = 0; key < KEYS; key++) {
            call(mEntries.get(key % mEntries.size()), key);
        }
        mTime.advance(Duration.ofSeconds(15));
    }

    /** Returns a description of the first violated guarantee, or an empty string. */
    String violation() {
        for (Map.Entry<String, Integer> effect : mEffects.entrySet()) {
            if (effect.getValue() > 1) {
                return effect.getKey() + " ran " + effect.getValue() + " times";
            }
        }
        for (RequestId request : mReportedNotRun) {
            if (mEffectsByRequest.containsKey(request)) {
                return "request " + request + " was reported as not run, but ran";
            }
        }
        for (Map.Entry<String, Set<ClaimOutcome>> outcomes : mOutcomes.entrySet()) {
            if (outcomes.getValue().size() > 1) {
                return outcomes.getKey() + " has two outcomes";
            }
            if (!mEffects.containsKey(outcomes.getKey())) {
                return outcomes.getKey() + " has an outcome but no effect";
            }
        }
        return "";
    }

    /** Returns the number of effects of calls whose keys have the given prefix. */
    public int countEffects(String keyPrefix) {
        return mEffects.entrySet().stream()
                .filter(effect -> effect.getKey().startsWith(keyPrefix))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    public ManualTimeSource time() {
        return mTime;
    }

    /** Returns a unique number. */
    public int nextId() {
        return mIds++;
    }

    /** Returns the last answer for each key. */
    Map<String, ExecutionStatus> lastAnswers() {
        return mLastAnswers;
    }

    int answers() {
        return mAnswers;
    }

    int effects() {
        return mEffects.size();
    }

    public List<SimEntry> entries() {
        return mEntries;
    }

    /** Generates the calls of the simulated entries. */
    public interface Workload {
        /** Called when an entry has started. */
        void onStart(ClaimSimulation simulation, SimEntry entry);

        /** Called when an entry may send a call. */
        void onStep(SimEntry entry);
    }

    /**
     * Deliberate bugs of the simulated processes.
     *
     * @param policy rules that the claim state machines enforce
     * @param ignoresFence whether agents ignore requests to fence a claim
     * @param sendsToAnyIncarnation whether entries send calls to a restarted agent
     */
    record InjectedBugs(ClaimPolicy policy, boolean ignoresFence, boolean sendsToAnyIncarnation) {

        static final InjectedBugs NONE = new InjectedBugs(ClaimPolicy.STRICT, false, false);
    }
}
