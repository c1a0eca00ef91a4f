package org.boragethread.core.quarantine;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.upstream.GroupId;

/**
 * Decides which suspects, parts of prompts or whole requests, are kept from upstreams because they
 * crash them. The decision follows from the reports of all processes, in whatever order and how
 * often they arrive, so that processes with the same reports decide alike.
 *
 * <p>A crash breaks off sound requests too. A suspect is blocked only if crashes under it follow
 * one another, each in a request that was sent when the one before was known, and no response to it
 * was completed since. Of several such suspects, those with the most crashes are blocked, see
 * {@link CulpritSearch}.
 *
 * <p>A block ends after a time, soon if only few upstreams crashed. Then single requests are sent
 * again, from one process before the other; a crash renews the block for longer, a complete
 * response ends it everywhere. Not thread-safe.
 */
public final class Quarantine {

    /** Suspects with evidence that are kept; those with the least evidence are dropped first. */
    private static final int MAX_SUSPECTS = 8192;

    /** Share of the suspects that is dropped at once. */
    private static final int DROPPED_FRACTION = 8;

    /** Own reports to which further requests are added; those of a crash arrive within seconds. */
    private static final int MAX_OPEN_REPORTS = 64;

    private static final int MAX_DOUBLINGS = 6;

    /** Multiple of its block after which a suspect without further crashes is forgotten. */
    private static final int FORGET_MULTIPLE = 3;

    /** Length of a sequence of crashes from which on a request is not repeated elsewhere. */
    private static final int SUSPECT_LENGTH = 2;

    /** Multiple of the block time over which the first trials of the processes are spread. */
    private static final double SPREAD = 2;

    /** Fraction of the block time between two trials of one process. */
    private static final int TRIAL_FRACTION = 60;

    private final TimeSource mTime;
    private final String mName;
    private final BlockTimes mBlockTimes;
    private final Listener mListener;
    private final Map<Suspect, SuspectEvidence> mEvidence = new LinkedHashMap<>();
    private final Map<GroupId, Integer> mRequestSuspects = new HashMap<>();
    private final Map<Suspect, QuarantineOverride> mOverrides = new HashMap<>();
    private final Map<Suspect, Long> mTrials = new HashMap<>();
    private final Map<String, Map<Suspect, Set<String>>> mOwnReports = new LinkedHashMap<>();
    private final Map<Suspect, SuspectEvidence> mConclusive = new HashMap<>();
    private Map<Suspect, Set<Suspect>> mCulprits = Map.of();
    private long mLearned;

    /** Gets notified of what other processes and operators have to know. */
    public interface Listener {

        /** Called with what this process has seen of a crash so far. */
        void onCrash(CrashReport report);

        /** Called if other processes count crashes that this one can refute. */
        void onRefutable(Suspect suspect);

        /** Called when the evidence against a suspect becomes conclusive. */
        void onBlocked(QuarantineBlock block);

        /** Called when the evidence against a suspect is no longer conclusive. */
        void onUnblocked(Suspect suspect);
    }

    /**
     * Creates a quarantine without evidence.
     *
     * @param name name of this process; differs from that of all others
     * @param blockTimes times for which a suspect is blocked
     */
    public Quarantine(TimeSource time, String name, BlockTimes blockTimes, Listener listener) {
        mTime = time;
        mName = name;
        mBlockTimes = blockTimes;
        mListener = listener;
    }

    /** Returns whether any process has seen an upstream of a group crash under a request. */
    public boolean hasRequestSuspects(GroupId group) {
        return mRequestSuspects.containsKey(group)
                || mOverrides.keySet().stream()
                        .anyMatch(suspect -> suspect.isRequest() && suspect.group().equals(group));
    }

    /** Returns whether crashes under a suspect are known that are not refuted. */
    public boolean hasCrashes(Suspect suspect) {
        SuspectEvidence evidence = mEvidence.get(suspect);
        return evidence != null && !evidence.crashes().isEmpty();
    }

    /**
     * Returns for each suspect the known crashes under it; belongs to a request that is sent now.
     */
    public Map<Suspect, Set<String>> precedents(Collection<Suspect> suspects) {
        Map<Suspect, Set<String>> precedents = new HashMap<>();
        for (Suspect suspect : suspects) {
            SuspectEvidence evidence = mEvidence.get(suspect);
            precedents.put(suspect, evidence == null ? Set.of() : evidence.precedentsOfNextCrash());
        }
        return precedents;
    }

    /**
     * Records that an upstream crashed and broke off a request of this process.
     *
     * @param crash identifier of the crash, the same in all processes
     * @param precedents what {@link #precedents} returned when the request was sent
     */
    public void reportCrash(String crash, Map<Suspect, Set<String>> precedents) {
        Map<Suspect, Set<String>> report =
                mOwnReports.computeIfAbsent(crash, key -> new HashMap<>());
        precedents.forEach(
                (suspect, crashes) ->
                        report.merge(suspect, new HashSet<>(crashes), Quarantine::union));
        if (mOwnReports.size() > MAX_OPEN_REPORTS) {
            mOwnReports.remove(mOwnReports.keySet().iterator().next());
        }
        CrashReport whole = new CrashReport(crash, mName, mTime.instant(), report);
        addCrash(whole);
        mListener.onCrash(whole);
    }

    private static Set<String> union(Set<String> first, Set<String> second) {
        Set<String> all = new HashSet<>(first);
        all.addAll(second);
        return all;
    }

    /** Adds a report of any process; one that was added before changes nothing. */
    public void addCrash(CrashReport report) {
        mLearned++;
        Duration age = Duration.between(report.time(), mTime.instant());
        long crashedAt = mTime.nanoTime() - Math.max(0, age.toNanos());
        report.precedents()
                .forEach(
                        (suspect, precedents) -> {
                            evidence(suspect)
                                    .add(
                                            report.crash(),
                                            report.reporter(),
                                            precedents,
                                            mLearned,
                                            crashedAt);
                            judge(suspect);
                        });
        findCulprits();
        dropLeastEvidence();
    }

    /** Adds a refutation by any process. */
    public void addRefutation(RefutationReport report) {
        // It may arrive before the crashes.
        evidence(report.suspect()).refute(report.crashes());
        judge(report.suspect());
        findCulprits();
        dropLeastEvidence();
    }

    private SuspectEvidence evidence(Suspect suspect) {
        SuspectEvidence known = mEvidence.get(suspect);
        if (known != null) {
            return known;
        }
        SuspectEvidence created = new SuspectEvidence(suspect.kind(), mTime.nanoTime());
        mEvidence.put(suspect, created);
        if (suspect.isRequest()) {
            mRequestSuspects.merge(suspect.group(), 1, Integer::sum);
        }
        return created;
    }

    /** Returns a number that stands for all reports of which this process knows now. */
    public long learnedReports() {
        return mLearned;
    }

    /**
     * Records a response that an upstream completed.
     *
     * @param suspects suspects of the request
     * @param learnedAtStart {@link #learnedReports} when the response began
     */
    public void onResponse(Collection<Suspect> suspects, long learnedAtStart) {
        for (Suspect suspect : suspects) {
            SuspectEvidence evidence = mEvidence.get(suspect);
            if (evidence == null) {
                continue;
            }
            Set<String> refuted = evidence.crashesKnownAt(learnedAtStart);
            if (!refuted.isEmpty()) {
                evidence.refuteHere(refuted);
                judge(suspect);
                findCulprits();
            }
        }
    }

    /** Returns what this process can refute and others still count, if it matters to them. */
    public Optional<RefutationReport> unreportedRefutation(Suspect suspect) {
        SuspectEvidence evidence = mEvidence.get(suspect);
        if (evidence == null || !isRefutationNeeded(evidence)) {
            return Optional.empty();
        }
        return Optional.of(
                new RefutationReport(suspect, mName, mTime.instant(), evidence.refutedHere()));
    }

    private static boolean isRefutationNeeded(SuspectEvidence evidence) {
        return evidence.reportedLength() >= SUSPECT_LENGTH && evidence.hasUnreportedRefutations();
    }

    /** Sets or ends an operator's decision on a suspect. */
    public void setOverride(Suspect suspect, Optional<QuarantineOverride> override) {
        if (override.isPresent()) {
            mOverrides.put(suspect, override.get());
        } else {
            mOverrides.remove(suspect);
        }
        findCulprits();
    }

    /** Returns why a request with the given suspects must not be sent, if it must not. */
    public Optional<QuarantineBlock> findBlock(Collection<Suspect> suspects) {
        for (Suspect suspect : suspects) {
            QuarantineOverride override = mOverrides.get(suspect);
            if (override == QuarantineOverride.ALLOW) {
                continue;
            }
            if (override == QuarantineOverride.BLOCK) {
                return Optional.of(
                        new QuarantineBlock(
                                suspect, 0, "", Duration.ZERO, mBlockTimes.confirmed()));
            }
            if (!mCulprits.containsKey(suspect) || !isCulpritOf(suspect, suspects)) {
                continue;
            }
            Duration remaining = remainingBlock(suspect);
            if (!remaining.isZero()) {
                return Optional.of(block(suspect, remaining));
            }
        }
        return Optional.empty();
    }

    /**
     * Returns whether the evidence against a culprit is conclusive without the crashes that its
     * companions explain which the request does not have.
     */
    private boolean isCulpritOf(Suspect culprit, Collection<Suspect> suspects) {
        SuspectEvidence evidence = mConclusive.get(culprit);
        Set<String> unexplained = evidence.crashes();
        for (Suspect companion : mCulprits.get(culprit)) {
            if (!suspects.contains(companion)) {
                unexplained.removeAll(mConclusive.get(companion).crashes());
            }
        }
        return evidence.sequence(unexplained).isConclusive();
    }

    private QuarantineBlock block(Suspect suspect, Duration remaining) {
        SuspectEvidence evidence = mEvidence.get(suspect);
        return new QuarantineBlock(
                suspect,
                evidence.crashes().size(),
                evidence.firstReporter(),
                mTime.since(evidence.lastCrashNanos()),
                remaining);
    }

    private Duration remainingBlock(Suspect suspect) {
        SuspectEvidence evidence = mEvidence.get(suspect);
        Duration age = mTime.since(evidence.lastCrashNanos());
        Duration blockTime = blockTime(evidence);
        // Spreads the first trials of the processes, so that one learns of the crash of another.
        Duration whole =
                blockTime.plusNanos((long) (SPREAD * blockTime.toNanos() * spread(suspect)));
        if (age.compareTo(whole) < 0) {
            return whole.minus(age);
        }
        return untilTrial(suspect);
    }

    /** Returns the time until this process may send one more request as a trial. */
    private Duration untilTrial(Suspect suspect) {
        Long trial = mTrials.get(suspect);
        Duration interval = trialInterval(suspect);
        if (trial == null || mTime.since(trial).compareTo(interval) >= 0) {
            return Duration.ZERO;
        }
        return interval.minus(mTime.since(trial));
    }

    /** Returns the time between two trials of one process; the first has ended by the second. */
    private Duration trialInterval(Suspect suspect) {
        return max(
                blockTime(mEvidence.get(suspect)).dividedBy(TRIAL_FRACTION),
                mBlockTimes.provisional().dividedBy(2));
    }

    private Duration blockTime(SuspectEvidence evidence) {
        CrashSequence sequence = evidence.sequence();
        if (!sequence.isConfirmed()) {
            return evidence.kind().provisionalBlock(mBlockTimes.provisional());
        }
        int doublings = Math.min(MAX_DOUBLINGS, sequence.crashesSinceConclusion());
        return mBlockTimes.confirmed().multipliedBy(1L << doublings);
    }

    private double spread(Suspect suspect) {
        long hash = Hashing.komihash5_0().hashCharsToLong(mName + "/" + suspect);
        return (hash >>> 11) * 0x1.0p-53;
    }

    /** Records that a request is sent, which may be the trial of a suspect. */
    public void onSent(Collection<Suspect> suspects) {
        for (Suspect suspect : suspects) {
            if (mCulprits.containsKey(suspect)) {
                mTrials.put(suspect, mTime.nanoTime());
            }
        }
    }

    /**
     * Returns whether one of the suspects may have caused several crashes, so that a request that
     * was broken off should not be repeated at another upstream.
     */
    public boolean isSuspect(Collection<Suspect> suspects) {
        for (Suspect suspect : suspects) {
            SuspectEvidence evidence = mEvidence.get(suspect);
            if (evidence != null && evidence.sequence().length() >= SUSPECT_LENGTH) {
                return true;
            }
        }
        return false;
    }

    /** Returns the suspects that are blocked now. */
    public List<QuarantineBlock> blocks() {
        List<QuarantineBlock> blocks = new ArrayList<>();
        for (Suspect suspect : mCulprits.keySet()) {
            blocks.add(block(suspect, remainingBlock(suspect)));
        }
        return blocks;
    }

    /** Forgets suspects under which nothing crashed for long. */
    public void expire() {
        Set<Suspect> expired = new HashSet<>();
        mEvidence.forEach(
                (suspect, evidence) -> {
                    if (mTime.since(evidence.lastCrashNanos()).compareTo(lifetime(suspect)) > 0) {
                        expired.add(suspect);
                    }
                });
        expired.forEach(this::forget);
    }

    private Duration lifetime(Suspect suspect) {
        SuspectEvidence evidence = mEvidence.get(suspect);
        return mConclusive.containsKey(suspect)
                ? max(blockTime(evidence), mBlockTimes.confirmed()).multipliedBy(FORGET_MULTIPLE)
                : mBlockTimes.confirmed();
    }

    private static Duration max(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }

    /** Returns whether reports on a suspect are kept. */
    public boolean hasEvidence(Suspect suspect) {
        return mEvidence.containsKey(suspect);
    }

    private void judge(Suspect suspect) {
        SuspectEvidence evidence = mEvidence.get(suspect);
        if (isRefutationNeeded(evidence)) {
            mListener.onRefutable(suspect);
        }
        if (evidence.sequence().isConclusive()) {
            mConclusive.put(suspect, evidence);
        } else {
            mConclusive.remove(suspect);
        }
    }

    private void findCulprits() {
        Map<Suspect, Set<Suspect>> previous = mCulprits;
        Map<Suspect, SuspectEvidence> suspects = new HashMap<>(mConclusive);
        suspects.keySet().removeIf(suspect -> mOverrides.get(suspect) == QuarantineOverride.ALLOW);
        mCulprits = new CulpritSearch(suspects).find();
        for (Suspect suspect : previous.keySet()) {
            if (!mCulprits.containsKey(suspect)) {
                mListener.onUnblocked(suspect);
            }
        }
        for (Suspect suspect : mCulprits.keySet()) {
            if (!previous.containsKey(suspect)) {
                mListener.onBlocked(block(suspect, remainingBlock(suspect)));
            }
        }
    }

    private void dropLeastEvidence() {
        if (mEvidence.size() <= MAX_SUSPECTS) {
            return;
        }
        List<Suspect> suspects = new ArrayList<>(mEvidence.keySet());
        suspects.sort(
                Comparator.<Suspect>comparingInt(
                                suspect -> mEvidence.get(suspect).sequence().length())
                        .thenComparingLong(suspect -> mEvidence.get(suspect).lastCrashNanos()));
        suspects.subList(0, MAX_SUSPECTS / DROPPED_FRACTION).forEach(this::forget);
    }

    private void forget(Suspect suspect) {
        if (mEvidence.remove(suspect) != null && suspect.isRequest()) {
            mRequestSuspects.computeIfPresent(
                    suspect.group(), (group, count) -> count > 1 ? count - 1 : null);
        }
        mTrials.remove(suspect);
        if (mConclusive.remove(suspect) != null) {
            findCulprits();
        }
    }
}
