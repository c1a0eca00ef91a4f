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
 * Decides which parts of prompts are kept from upstreams because they crash them. The decision
 * follows from the reports of all processes, in whatever order and how often they arrive, so that
 * processes with the same reports decide alike.
 *
 * <p>A crash breaks off sound requests too. A part is blocked only if crashes under it follow one
 * another, each in a request that was sent when the one before was known, and no response to the
 * part was completed since. Of several such parts, those with the most crashes are blocked, see
 * {@link CulpritSearch}.
 *
 * <p>A block ends after a time, soon if only few upstreams crashed. Then single requests are sent
 * again, from one process before the other; a crash renews the block for longer, a complete
 * response ends it everywhere. Not thread-safe.
 */
public final class Quarantine {

    /** Parts with evidence that are kept; those with the least evidence are dropped first. */
    private static final int MAX_PARTS = 8192;

    /** Share of the parts that is dropped at once. */
    private static final int DROPPED_FRACTION = 8;

    /** Own reports to which further requests are added; those of a crash arrive within seconds. */
    private static final int MAX_OPEN_REPORTS = 64;

    private static final int MAX_DOUBLINGS = 6;

    /** Multiple of its block after which a part without further crashes is forgotten. */
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
        void onRefutable(Suspect part);

        /** Called when the evidence against a part becomes conclusive. */
        void onBlocked(QuarantineBlock block);

        /** Called when the evidence against a part is no longer conclusive. */
        void onUnblocked(Suspect part);
    }

    /**
     * Creates a quarantine without evidence.
     *
     * @param name name of this process; differs from that of all others
     * @param blockTimes times for which a part is blocked
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

    /** Returns for each part the known crashes under it; belongs to a request that is sent now. */
    public Map<Suspect, Set<String>> precedents(Collection<Suspect> parts) {
        Map<Suspect, Set<String>> precedents = new HashMap<>();
        for (Suspect part : parts) {
            SuspectEvidence evidence = mEvidence.get(part);
            precedents.put(part, evidence == null ? Set.of() : evidence.precedentsOfNextCrash());
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
                (part, crashes) -> report.merge(part, new HashSet<>(crashes), Quarantine::union));
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
                        (part, precedents) -> {
                            evidence(part)
                                    .add(
                                            report.crash(),
                                            report.reporter(),
                                            precedents,
                                            mLearned,
                                            crashedAt);
                            judge(part);
                        });
        findCulprits();
        dropLeastEvidence();
    }

    /** Adds a refutation by any process. */
    public void addRefutation(RefutationReport report) {
        // It may arrive before the crashes.
        evidence(report.part()).refute(report.crashes());
        judge(report.part());
        findCulprits();
        dropLeastEvidence();
    }

    private SuspectEvidence evidence(Suspect part) {
        SuspectEvidence known = mEvidence.get(part);
        if (known != null) {
            return known;
        }
        SuspectEvidence created = new SuspectEvidence(part.kind(), mTime.nanoTime());
        mEvidence.put(part, created);
        if (part.isRequest()) {
            mRequestSuspects.merge(part.group(), 1, Integer::sum);
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
     * @param parts parts of the request
     * @param learnedAtStart {@link #learnedReports} when the response began
     */
    public void onResponse(Collection<Suspect> parts, long learnedAtStart) {
        for (Suspect part : parts) {
            SuspectEvidence evidence = mEvidence.get(part);
            if (evidence == null) {
                continue;
            }
            Set<String> refuted = evidence.crashesKnownAt(learnedAtStart);
            if (!refuted.isEmpty()) {
                evidence.refuteHere(refuted);
                judge(part);
                findCulprits();
            }
        }
    }

    /** Returns what this process can refute and others still count, if it matters to them. */
    public Optional<RefutationReport> unreportedRefutation(Suspect part) {
        SuspectEvidence evidence = mEvidence.get(part);
        if (evidence == null || !isRefutationNeeded(evidence)) {
            return Optional.empty();
        }
        return Optional.of(
                new RefutationReport(part, mName, mTime.instant(), evidence.refutedHere()));
    }

    private static boolean isRefutationNeeded(SuspectEvidence evidence) {
        return evidence.reportedLength() >= SUSPECT_LENGTH && evidence.hasUnreportedRefutations();
    }

    /** Sets or ends an operator's decision on a part. */
    public void setOverride(Suspect part, Optional<QuarantineOverride> override) {
        if (override.isPresent()) {
            mOverrides.put(part, override.get());
        } else {
            mOverrides.remove(part);
        }
        findCulprits();
    }

    /** Returns why a request with the given parts must not be sent, if it must not. */
    public Optional<QuarantineBlock> findBlock(Collection<Suspect> parts) {
        for (Suspect part : parts) {
            QuarantineOverride override = mOverrides.get(part);
            if (override == QuarantineOverride.ALLOW) {
                continue;
            }
            if (override == QuarantineOverride.BLOCK) {
                return Optional.of(
                        new QuarantineBlock(part, 0, "", Duration.ZERO, mBlockTimes.confirmed()));
            }
            if (!mCulprits.containsKey(part) || !isCulpritOf(part, parts)) {
                continue;
            }
            Duration remaining = remainingBlock(part);
            if (!remaining.isZero()) {
                return Optional.of(block(part, remaining));
            }
        }
        return Optional.empty();
    }

    /**
     * Returns whether the evidence against a culprit is conclusive without the crashes that its
     * companions explain which the request does not have.
     */
    private boolean isCulpritOf(Suspect culprit, Collection<Suspect> parts) {
        SuspectEvidence evidence = mConclusive.get(culprit);
        Set<String> unexplained = evidence.crashes();
        for (Suspect companion : mCulprits.get(culprit)) {
            if (!parts.contains(companion)) {
                unexplained.removeAll(mConclusive.get(companion).crashes());
            }
        }
        return evidence.sequence(unexplained).isConclusive();
    }

    private QuarantineBlock block(Suspect part, Duration remaining) {
        SuspectEvidence evidence = mEvidence.get(part);
        return new QuarantineBlock(
                part,
                evidence.crashes().size(),
                evidence.firstReporter(),
                mTime.since(evidence.lastCrashNanos()),
                remaining);
    }

    private Duration remainingBlock(Suspect part) {
        SuspectEvidence evidence = mEvidence.get(part);
        Duration age = mTime.since(evidence.lastCrashNanos());
        Duration blockTime = blockTime(evidence);
        // Spreads the first trials of the processes, so that one learns of the crash of another.
        Duration whole = blockTime.plusNanos((long) (SPREAD * blockTime.toNanos() * spread(part)));
        if (age.compareTo(whole) < 0) {
            return whole.minus(age);
        }
        return untilTrial(part);
    }

    /** Returns the time until this process may send one more request as a trial. */
    private Duration untilTrial(Suspect part) {
        Long trial = mTrials.get(part);
        Duration interval = trialInterval(part);
        if (trial == null || mTime.since(trial).compareTo(interval) >= 0) {
            return Duration.ZERO;
        }
        return interval.minus(mTime.since(trial));
    }

    /** Returns the time between two trials of one process; the first has ended by the second. */
    private Duration trialInterval(Suspect part) {
        return max(
                blockTime(mEvidence.get(part)).dividedBy(TRIAL_FRACTION),
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

    private double spread(Suspect part) {
        long hash = Hashing.komihash5_0().hashCharsToLong(mName + "/" + part);
        return (hash >>> 11) * 0x1.0p-53;
    }

    /** Records that a request is sent, which may be the trial of a part. */
    public void onSent(Collection<Suspect> parts) {
        for (Suspect part : parts) {
            if (mCulprits.containsKey(part)) {
                mTrials.put(part, mTime.nanoTime());
            }
        }
    }

    /**
     * Returns whether one of the parts may have caused several crashes, so that a request that was
     * broken off should not be repeated at another upstream.
     */
    public boolean isSuspect(Collection<Suspect> parts) {
        for (Suspect part : parts) {
            SuspectEvidence evidence = mEvidence.get(part);
            if (evidence != null && evidence.sequence().length() >= SUSPECT_LENGTH) {
                return true;
            }
        }
        return false;
    }

    /** Returns the parts that are blocked now. */
    public List<QuarantineBlock> blocks() {
        List<QuarantineBlock> blocks = new ArrayList<>();
        for (Suspect part : mCulprits.keySet()) {
            blocks.add(block(part, remainingBlock(part)));
        }
        return blocks;
    }

    /** Forgets parts under which nothing crashed for long. */
    public void expire() {
        Set<Suspect> expired = new HashSet<>();
        mEvidence.forEach(
                (part, evidence) -> {
                    if (mTime.since(evidence.lastCrashNanos()).compareTo(lifetime(part)) > 0) {
                        expired.add(part);
                    }
                });
        expired.forEach(this::forget);
    }

    private Duration lifetime(Suspect part) {
        SuspectEvidence evidence = mEvidence.get(part);
        return mConclusive.containsKey(part)
                ? max(blockTime(evidence), mBlockTimes.confirmed()).multipliedBy(FORGET_MULTIPLE)
                : mBlockTimes.confirmed();
    }

    private static Duration max(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }

    /** Returns whether reports on a part are kept. */
    public boolean hasEvidence(Suspect part) {
        return mEvidence.containsKey(part);
    }

    private void judge(Suspect part) {
        SuspectEvidence evidence = mEvidence.get(part);
        if (isRefutationNeeded(evidence)) {
            mListener.onRefutable(part);
        }
        if (evidence.sequence().isConclusive()) {
            mConclusive.put(part, evidence);
        } else {
            mConclusive.remove(part);
        }
    }

    private void findCulprits() {
        Map<Suspect, Set<Suspect>> previous = mCulprits;
        Map<Suspect, SuspectEvidence> suspects = new HashMap<>(mConclusive);
        suspects.keySet().removeIf(part -> mOverrides.get(part) == QuarantineOverride.ALLOW);
        mCulprits = new CulpritSearch(suspects).find();
        for (Suspect part : previous.keySet()) {
            if (!mCulprits.containsKey(part)) {
                mListener.onUnblocked(part);
            }
        }
        for (Suspect part : mCulprits.keySet()) {
            if (!previous.containsKey(part)) {
                mListener.onBlocked(block(part, remainingBlock(part)));
            }
        }
    }

    private void dropLeastEvidence() {
        if (mEvidence.size() <= MAX_PARTS) {
            return;
        }
        List<Suspect> parts = new ArrayList<>(mEvidence.keySet());
        parts.sort(
                Comparator.<Suspect>comparingInt(part -> mEvidence.get(part).sequence().length())
                        .thenComparingLong(part -> mEvidence.get(part).lastCrashNanos()));
        parts.subList(0, MAX_PARTS / DROPPED_FRACTION).forEach(this::forget);
    }

    private void forget(Suspect part) {
        if (mEvidence.remove(part) != null && part.isRequest()) {
            mRequestSuspects.computeIfPresent(
                    part.group(), (group, count) -> count > 1 ? count - 1 : null);
        }
        mTrials.remove(part);
        if (mConclusive.remove(part) != null) {
            findCulprits();
        }
    }
}
