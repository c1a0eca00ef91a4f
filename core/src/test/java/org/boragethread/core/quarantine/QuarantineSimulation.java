package org.boragethread.core.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.upstream.GroupId;

/**
 * Entries that send prompts to engines, of which some parts crash each engine that begins to
 * respond to them. Entries learn of each other's reports through a log, late, are cut off from it
 * and restarted; engines also crash for other reasons, several at once.
 */
final class QuarantineSimulation {

    static final Duration STABLE_WINDOW = Duration.ofSeconds(3);

    private static final GroupId GROUP = new GroupId("engines");
    private static final BlockTimes BLOCK_TIMES =
            BlockTimes.of(STABLE_WINDOW, Duration.ofMinutes(10));
    private static final Duration RESTART_TIME = Duration.ofSeconds(3);
    private static final Duration STEP = Duration.ofMillis(10);
    private static final int MAX_DELIVERY_MILLIS = 60;
    private static final int MAX_CRASHES_OF_PART = 5;
    private static final int MAX_CRASHES_OF_REQUEST = 3;
    private static final int MAX_ATTEMPTS = 2;
    private static final int FIRST_PARTS = 20;
    private static final int SECOND_PARTS = 70;

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final SplittableRandom mRandom;
    private final Spec mSpec;
    private final List<Entry> mEntries = new ArrayList<>();
    private final List<Engine> mEngines = new ArrayList<>();
    private final List<Consumer<Quarantine>> mLog = new ArrayList<>();
    private final Map<Long, List<Long>> mCrashTimes = new LinkedHashMap<>();
    private final Map<Long, Integer> mLateSends = new LinkedHashMap<>();
    private int mStartedEngines;
    private int mSound;
    private int mSoundRefused;
    private int mLostEngines;

    /**
     * What is simulated.
     *
     * @param kind whether prompts with a part crash engines, or requests that come again; then the
     *     sound ones come again too, as those of callers that poll
     * @param crashingParts parts or requests that crash engines
     * @param companion whether each prompt with such a part has one and the same first part, which
     *     sound prompts have too
     * @param crashingShare share of the prompts with such a part
     * @param requestsPerSecond prompts over all entries
     * @param disturbed whether entries are cut off and restarted, and engines crash otherwise
     */
    record Spec(
            Suspect.Kind kind,
            int entries,
            int engines,
            List<Long> crashingParts,
            boolean companion,
            double crashingShare,
            double requestsPerSecond,
            boolean disturbed) {}

    QuarantineSimulation(Spec spec, long seed) {
        mSpec = spec;
        mRandom = new SplittableRandom(seed);
        for (int i = 0; i < spec.entries; i++) {
            mEntries.add(new Entry(i));
        }
        for (int i = 0; i < spec.engines; i++) {
            mEngines.add(new Engine());
        }
    }

    void run(Duration length) {
        long steps = length.dividedBy(STEP);
        for (long i = 0; i < steps; i++) {
            mTime.advance(STEP);
            double expected = mSpec.requestsPerSecond * STEP.toMillis() / 1000;
            int count = (int) expected + (mRandom.nextDouble() < expected % 1 ? 1 : 0);
            for (int j = 0; j < count; j++) {
                sendRequest();
            }
            if (mSpec.disturbed) {
                disturb();
            }
        }
    }

    /** Returns the requests with a part that reached engines later than they may. */
    int lateSends(long part) {
        return mLateSends.getOrDefault(part, 0);
    }

    /** Returns the engines that crashed under the part. */
    int crashes(long part) {
        return mCrashTimes.getOrDefault(part, List.of()).size();
    }

    /** Returns the share of sound requests that were refused since the last reset. */
    double soundRefusedShare() {
        return (double) mSoundRefused / Math.max(1, mSound);
    }

    int soundRequests() {
        return mSound;
    }

    void resetCounters() {
        mSound = 0;
        mSoundRefused = 0;
    }

    int lostEngines() {
        return mLostEngines;
    }

    private void sendRequest() {
        Entry entry = mEntries.get(mRandom.nextInt(mEntries.size()));
        boolean crashing =
                !mSpec.crashingParts.isEmpty() && mRandom.nextDouble() < mSpec.crashingShare;
        long first = crashing && mSpec.companion ? 1 : 1 + mRandom.nextInt(FIRST_PARTS);
        long second =
                crashing
                        ? mSpec.crashingParts.get(mRandom.nextInt(mSpec.crashingParts.size()))
                        : 1000 + mRandom.nextInt(SECOND_PARTS);
        Collection<Suspect> parts =
                isOfRequests()
                        ? List.of(Suspect.request(GROUP, second))
                        : List.of(Suspect.part(GROUP, first), Suspect.part(GROUP, second));
        if (entry.mQuarantine.findBlock(parts).isPresent()) {
            mSoundRefused += crashing ? 0 : 1;
            mSound += crashing ? 0 : 1;
            return;
        }
        mSound += crashing ? 0 : 1;
        send(entry, parts, crashing ? second : 0, 1);
    }

    private boolean isOfRequests() {
        return mSpec.kind == Suspect.Kind.REQUEST;
    }

    private void send(Entry entry, Collection<Suspect> parts, long crashingPart, int attempt) {
        if (mEngines.isEmpty()) {
            return;
        }
        Engine engine = mEngines.get(mRandom.nextInt(mEngines.size()));
        if (crashingPart != 0) {
            countSend(entry, crashingPart);
        }
        new Request(entry, engine, parts, crashingPart, attempt).start();
    }

    private void countSend(Entry entry, long part) {
        List<Long> crashes = mCrashTimes.getOrDefault(part, List.of());
        int allowed = isOfRequests() ? MAX_CRASHES_OF_REQUEST : MAX_CRASHES_OF_PART;
        boolean late =
                crashes.size() >= allowed
                        && mTime.since(crashes.get(allowed - 1)).compareTo(STABLE_WINDOW) > 0;
        if (late && entry.isInTouch()) {
            mLateSends.merge(part, 1, Integer::sum);
        }
    }

    private void disturb() {
        if (mRandom.nextDouble() < 0.002) {
            mEntries.get(mRandom.nextInt(mEntries.size())).cutOff(Duration.ofMillis(1500));
        }
        if (mRandom.nextDouble() < 0.002) {
            mEntries.get(mRandom.nextInt(mEntries.size())).restart();
        }
        if (mRandom.nextDouble() < 0.001) {
            int count = 1 + mRandom.nextInt(Math.max(1, mEngines.size() / 3));
            for (Engine engine :
                    List.copyOf(mEngines).subList(0, Math.min(count, mEngines.size()))) {
                engine.crash();
            }
        }
    }

    /** Appends to the log; every entry that is not cut off reads it a little later. */
    private void append(Consumer<Quarantine> record) {
        mLog.add(record);
        mEntries.forEach(Entry::readLater);
    }

    private Duration randomMillis(int from, int to) {
        return Duration.ofMillis(from + mRandom.nextInt(to - from));
    }

    /** An entry with its own view of the reports. */
    private final class Entry implements Quarantine.Listener {

        private final int mNumber;
        private Quarantine mQuarantine;
        private int mRead;
        private int mLifetime;
        private long mCutUntil;
        private long mDisturbedAt;

        Entry(int number) {
            mNumber = number;
            mQuarantine = create();
            mCutUntil = mTime.nanoTime();
            mDisturbedAt = mTime.nanoTime() - STABLE_WINDOW.toNanos();
        }

        private Quarantine create() {
            return new Quarantine(mTime, "entry-" + mNumber, BLOCK_TIMES, this);
        }

        boolean isInTouch() {
            return mTime.since(mDisturbedAt).compareTo(STABLE_WINDOW) >= 0;
        }

        void cutOff(Duration length) {
            mCutUntil = mTime.nanoTime() + length.toNanos();
            mDisturbedAt = mCutUntil;
            mTime.schedule(length, this::readLater);
        }

        void restart() {
            mLifetime++;
            mDisturbedAt = mTime.nanoTime();
            mQuarantine = create();
            mRead = 0;
            readLater();
        }

        void readLater() {
            mTime.schedule(randomMillis(5, MAX_DELIVERY_MILLIS), this::read);
        }

        private void read() {
            if (mTime.nanoTime() < mCutUntil) {
                return;
            }
            while (mRead < mLog.size()) {
                mLog.get(mRead).accept(mQuarantine);
                mRead++;
            }
        }

        @Override
        public void onCrash(CrashReport report) {
            write(quarantine -> quarantine.addCrash(report));
        }

        @Override
        public void onRefutable(Suspect part) {
            mTime.schedule(
                    randomMillis(1, 100),
                    () ->
                            mQuarantine
                                    .unreportedRefutation(part)
                                    .ifPresent(
                                            report -> write(other -> other.addRefutation(report))));
        }

        private void write(Consumer<Quarantine> record) {
            long left = mCutUntil - mTime.nanoTime();
            if (left <= 0) {
                append(record);
                return;
            }
            int lifetime = mLifetime;
            mTime.schedule(
                    Duration.ofNanos(left),
                    () -> {
                        if (lifetime == mLifetime) {
                            append(record);
                        }
                    });
        }

        @Override
        public void onBlocked(QuarantineBlock block) {
            // The requests of the simulation ask before they are sent.
        }

        @Override
        public void onUnblocked(Suspect part) {
            // As above.
        }
    }

    /** A run of an engine. */
    private final class Engine {

        private final String mRun = "engine-" + mStartedEngines++;
        private final Set<Request> mRequests = new LinkedHashSet<>();

        void crash() {
            if (!mEngines.remove(this)) {
                return;
            }
            mLostEngines++;
            mTime.schedule(RESTART_TIME, () -> mEngines.add(new Engine()));
            List.copyOf(mRequests).forEach(Request::breakOff);
        }
    }

    /** A request at an engine. */
    private final class Request {

        private final Entry mEntry;
        private final int mLifetime;
        private final Engine mEngine;
        private final Collection<Suspect> mParts;
        private final long mCrashingPart;
        private final int mAttempt;
        private final boolean mSentAfterCrash;
        private final Map<Suspect, Set<String>> mPrecedents;
        private long mReportsAtStart;

        Request(
                Entry entry,
                Engine engine,
                Collection<Suspect> parts,
                long crashingPart,
                int attempt) {
            mAttempt = attempt;
            mSentAfterCrash = parts.stream().anyMatch(entry.mQuarantine::hasCrashes);
            mEntry = entry;
            mLifetime = entry.mLifetime;
            mEngine = engine;
            mParts = parts;
            mCrashingPart = crashingPart;
            mPrecedents = entry.mQuarantine.precedents(parts);
        }

        void start() {
            mEntry.mQuarantine.onSent(mParts);
            mEngine.mRequests.add(this);
            mTime.schedule(randomMillis(100, 700), this::begin);
        }

        private void begin() {
            if (!mEngine.mRequests.contains(this)) {
                return;
            }
            if (mCrashingPart != 0) {
                mCrashTimes
                        .computeIfAbsent(mCrashingPart, part -> new ArrayList<>())
                        .add(mTime.nanoTime());
                mEngine.crash();
                return;
            }
            mReportsAtStart = mEntry.mQuarantine.learnedReports();
            mTime.schedule(randomMillis(200, 1200), this::complete);
        }

        private void complete() {
            if (mEngine.mRequests.remove(this) && mLifetime == mEntry.mLifetime) {
                mEntry.mQuarantine.onResponse(mParts, mReportsAtStart);
            }
        }

        void breakOff() {
            mEngine.mRequests.remove(this);
            boolean repeated =
                    isOfRequests()
                            && mAttempt < MAX_ATTEMPTS
                            && !mSentAfterCrash
                            && !mEntry.mQuarantine.isSuspect(mParts);
            if (repeated && mLifetime == mEntry.mLifetime) {
                send(mEntry, mParts, mCrashingPart, mAttempt + 1);
            }
            mTime.schedule(
                    Duration.ofMillis(2),
                    () -> {
                        if (mLifetime == mEntry.mLifetime) {
                            mEntry.mQuarantine.reportCrash(mEngine.mRun, mPrecedents);
                        }
                    });
        }
    }
}
