package org.boragethread.core.resume;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.boragethread.core.member.Member;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.core.upstream.UpstreamDirectory;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.routing.UpstreamAnnouncement;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.SoftwareVersion;
import org.boragethread.model.upstream.UpstreamId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Simulates kills of many entries while streams are taken up and upstreams are replaced. */
public class StreamRejoinSimulationTest {

    private static final GroupId ENGINES = new GroupId("engines");
    private static final String TEAM = "team";
    private static final int DATA_CENTRES = 4;
    private static final int STREAMS = 60;
    private static final int TRIES = 3;
    private static final Duration STEP = Duration.ofMillis(100);

    /** Time in which an upstream that has started again announces it. */
    private static final Duration ANNOUNCED_AFTER = Duration.ofMillis(700);

    private static final Duration BETWEEN_TRIES = Duration.ofMillis(300);

    private enum Kill {
        ALL_AT_ONCE,
        ONE_AFTER_ANOTHER,
        ALL_BUT_ONE,
        ALL_OF_A_DATA_CENTRE
    }

    /** What became of the upstream that began the streams. */
    private enum Fate {
        SERVING,
        LEFT,
        UNDER_ANOTHER_ID,
        OTHER_SOFTWARE_ANNOUNCED,
        OTHER_SOFTWARE_NOT_ANNOUNCED,
        OTHER_SOFTWARE_WITH_AN_OLDER_COPY_OF_THE_STORE;

        private static final Set<Fate> ANNOUNCED =
                EnumSet.of(SERVING, LEFT, UNDER_ANOTHER_ID, OTHER_SOFTWARE_ANNOUNCED);
    }

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final List<Entry> mEntries = new ArrayList<>();
    private final Map<String, UpstreamAnnouncement> mStore = new LinkedHashMap<>();
    private final Map<String, String> mRunning = new HashMap<>();
    private SplittableRandom mRandom = new SplittableRandom(0);
    private int mStarts;
    private Optional<Long> mAnnounceAt = Optional.empty();

    /** A simulated entry; a restarted one keeps its address and knows nothing. */
    private final class Entry implements StreamOriginPeers {

        private final Member mMember;
        private StreamOriginDirectory mOrigins;
        private UpstreamDirectory mUpstreams;
        private final List<Runnable> mUnsettled = new ArrayList<>();
        private boolean mAlive;

        Entry(int number) {
            DataCentreId dataCentre = new DataCentreId("dc-" + number % DATA_CENTRES);
            mMember = new Member("10.0.0." + number + ":1", number, 100, dataCentre);
            start();
        }

        void start() {
            mAlive = true;
            mUnsettled.clear();
            mOrigins = new StreamOriginDirectory(mMember.address(), mTime, this, () -> {});
            mUpstreams = new UpstreamDirectory(mTime);
            mUpstreams.replaceAll(mStore.values());
            mUpstreams.onUpToDate(mTime.nanoTime());
        }

        void readStore() {
            mStore.values().forEach(mUpstreams::put);
            mUpstreams.all().stream()
                    .map(node -> node.entry().id())
                    .filter(id -> !mStore.containsKey(id.value()))
                    .forEach(mUpstreams::remove);
            mUpstreams.onUpToDate(mTime.nanoTime());
            if (mUpstreams.isSettled()) {
                mUnsettled.forEach(Runnable::run);
                mUnsettled.clear();
            }
        }

        /** Remembers a stream as soon as the announcements can be trusted. */
        void recordWhenSettled(StreamKey key, UpstreamNode node) {
            UpstreamAnnouncement called = node.entry();
            Optional<SoftwareVersion> version = node.softwareVersion();
            mUnsettled.add(
                    () -> {
                        boolean isSame = node.entry().isSameIncarnation(called);
                        Optional<SoftwareVersion> certain = isSame ? version : Optional.empty();
                        mOrigins.record(key, new StreamOrigin(ENGINES, certain));
                    });
            if (mUpstreams.isSettled()) {
                readStore();
            } else {
                mOrigins.record(key, new StreamOrigin(ENGINES, version, true));
            }
        }

        void readOlderCopy() {
            mUpstreams.onStoreRestored();
            mUpstreams.replaceAll(mStore.values());
        }

        @Override
        public void record(String peer, StreamKey key, StreamOrigin origin, Runnable onFailure) {
            Entry target = find(peer);
            if (target.mAlive) {
                target.mOrigins.remember(key, origin);
            } else {
                onFailure.run();
            }
        }

        @Override
        public void query(String peer, StreamKey key, Consumer<Optional<StreamOrigin>> callback) {
            Entry target = find(peer);
            callback.accept(target.mAlive ? target.mOrigins.recall(key) : Optional.empty());
        }
    }

    /** A stream with the version that really wrote its events. */
    private record Stream(StreamKey key, StreamKey keyOfAnother, String writtenBy) {}

    /** Tries of callers that took up streams, and how they ended. */
    private static final class Outcomes {
        private int mMixed;
        private int mServed;
        private int mUnknown;
        private int mUnavailable;

        @Override
        public String toString() {
            return "%d mixed, %d served, %d unknown, %d unavailable"
                    .formatted(mMixed, mServed, mUnknown, mUnavailable);
        }
    }

    private Entry find(String address) {
        return mEntries.stream()
                .filter(entry -> entry.mMember.address().equals(address))
                .findFirst()
                .orElseThrow();
    }

    private void announce(String id, String version) {
        mStarts++;
        UpstreamAnnouncement announcement =
                new UpstreamAnnouncement(
                        new UpstreamId(id),
                        ENGINES,
                        "10.1.0." + id.hashCode() % 100,
                        1000,
                        new DataCentreId("dc-0"),
                        false,
                        0,
                        Optional.of((long) mStarts),
                        Optional.of(new SoftwareVersion(version)));
        mStore.put(id, announcement);
    }

    private void run(String id, String version) {
        mRunning.put(id, version);
        announce(id, version);
    }

    @DataProvider
    public Object[][] cells() {
        List<Object[]> cells = new ArrayList<>();
        for (int size : new int[] {4, 12, 100}) {
            for (Kill kill : Kill.values()) {
                for (boolean reverse : new boolean[] {false, true}) {
                    cells.add(new Object[] {size, kill, reverse});
                }
            }
        }
        return cells.toArray(Object[][]::new);
    }

    // Guards against a version that is guessed after many entries were killed.
    @Test(dataProvider = "cells")
    public void streamIsRefusedRatherThanMixed(int size, Kill kill, boolean reverse) {
        for (Fate fate : Fate.ANNOUNCED) {
            play(size, kill, fate, reverse);
        }
    }

    // Guards against entries that have just started and trust the announcement of an earlier run.
    @Test(dataProvider = "cells")
    public void streamOfAnUnannouncedRunIsNotMixed(int size, Kill kill, boolean reverse) {
        play(size, kill, Fate.OTHER_SOFTWARE_NOT_ANNOUNCED, reverse);
    }

    // Guards against entries that have just started and read an older copy of the store.
    @Test(dataProvider = "cells")
    public void streamIsNotMixedWithAnOlderCopyOfTheStore(int size, Kill kill, boolean reverse) {
        play(size, kill, Fate.OTHER_SOFTWARE_WITH_AN_OLDER_COPY_OF_THE_STORE, reverse);
    }

    // Guards against streams of entries that have just started which others take for unknown.
    @Test(dataProvider = "cells")
    public void streamsBegunAfterTheKillAreTakenUpAtOnce(int size, Kill kill, boolean reverse) {
        start(size);
        killAndRestart(kill, Fate.SERVING, reverse);
        List<Stream> begun = begin("after", alive());
        Outcomes outcomes = new Outcomes();
        begun.forEach(stream -> takeUp(stream, outcomes));
        assertEquals(outcomes.mMixed, 0, outcomes.toString());
        assertTrue(outcomes.mServed >= STREAMS * 3 / 4, outcomes.toString());
    }

    private void play(int size, Kill kill, Fate fate, boolean reverse) {
        start(size);
        List<Stream> before = begin("before", mEntries);
        killAndRestart(kill, fate, reverse);
        List<Stream> after = begin("after", alive());
        Outcomes outcomes = takeUpAll(before);
        assertEquals(outcomes.mMixed, 0, fate + ": " + outcomes);
        if (kill == Kill.ALL_AT_ONCE) {
            assertEquals(outcomes.mServed, 0, outcomes.toString());
        }
        boolean goesOn = fate == Fate.SERVING || fate == Fate.UNDER_ANOTHER_ID;
        if (kill == Kill.ALL_OF_A_DATA_CENTRE && goesOn) {
            assertTrue(outcomes.mServed >= STREAMS * 3 / 4, outcomes.toString());
        }
        Outcomes later = takeUpAll(after);
        assertEquals(later.mMixed, 0, fate + ", begun after the kill: " + later);
    }

    private void start(int size) {
        mRandom = new SplittableRandom(size);
        mEntries.clear();
        mStore.clear();
        mRunning.clear();
        mAnnounceAt = Optional.empty();
        run("old-1", "v1");
        run("old-2", "v1");
        run("new-1", "v2");
        for (int i = 0; i < size; i++) {
            mEntries.add(new Entry(i));
        }
        updateMembers();
        advance(Duration.ofSeconds(10));
    }

    private Outcomes takeUpAll(List<Stream> streams) {
        Outcomes outcomes = new Outcomes();
        Set<Stream> served = new HashSet<>();
        for (int attempt = 0; attempt < TRIES; attempt++) {
            for (Stream stream : streams) {
                if (!served.contains(stream) && takeUp(stream, outcomes)) {
                    served.add(stream);
                }
            }
            advance(BETWEEN_TRIES);
        }
        return outcomes;
    }

    private List<Entry> alive() {
        return mEntries.stream().filter(entry -> entry.mAlive).toList();
    }

    private void updateMembers() {
        List<Member> members = alive().stream().map(entry -> entry.mMember).toList();
        alive().forEach(entry -> entry.mOrigins.setMembers(members));
    }

    private void advance(Duration time) {
        for (Duration t = Duration.ZERO; t.compareTo(time) < 0; t = t.plus(STEP)) {
            mTime.advance(STEP);
            if (mAnnounceAt.filter(at -> mTime.nanoTime() >= at).isPresent()) {
                mAnnounceAt = Optional.empty();
                announce("old-1", "v2");
            }
            alive().forEach(Entry::readStore);
        }
    }

    private List<Stream> begin(String name, List<Entry> entries) {
        List<Stream> begun = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            Entry entry = entries.get(mRandom.nextInt(entries.size()));
            UpstreamNode node =
                    entry.mUpstreams
                            .find(new UpstreamId("old-1"))
                            .or(() -> entry.mUpstreams.find(new UpstreamId("old-2")))
                            .orElseThrow();
            StreamKey key = StreamKey.of(TEAM, name + i, i);
            StreamKey keyOfAnother = StreamKey.of(TEAM, name + (i + 1) % STREAMS, i);
            entry.recordWhenSettled(key, node);
            begun.add(new Stream(key, keyOfAnother, mRunning.get(node.entry().id().value())));
        }
        return begun;
    }

    private void killAndRestart(Kill kill, Fate fate, boolean reverse) {
        List<Entry> killed =
                switch (kill) {
                    case ALL_BUT_ONE -> new ArrayList<>(mEntries.subList(1, mEntries.size()));
                    case ALL_OF_A_DATA_CENTRE -> entriesOf(new DataCentreId("dc-1"));
                    default -> new ArrayList<>(mEntries);
                };
        if (kill == Kill.ONE_AFTER_ANOTHER) {
            killOneAfterAnother(killed, fate);
            return;
        }
        killed.forEach(entry -> entry.mAlive = false);
        updateMembers();
        advance(Duration.ofSeconds(2));
        changeUpstream(fate);
        if (reverse) {
            Collections.reverse(killed);
        }
        for (Entry entry : killed) {
            entry.start();
            updateMembers();
        }
    }

    private List<Entry> entriesOf(DataCentreId dataCentre) {
        return new ArrayList<>(
                mEntries.stream()
                        .filter(entry -> entry.mMember.dataCentre().equals(dataCentre))
                        .toList());
    }

    private void killOneAfterAnother(List<Entry> killed, Fate fate) {
        for (Entry entry : killed) {
            entry.mAlive = false;
            updateMembers();
            advance(STEP);
            entry.start();
            updateMembers();
        }
        changeUpstream(fate);
        killed.get(0).start();
        updateMembers();
    }

    private void changeUpstream(Fate fate) {
        switch (fate) {
            case LEFT -> {
                mStore.remove("old-1");
                mStore.remove("old-2");
                run("old-2", "v2");
            }
            case UNDER_ANOTHER_ID -> {
                mStore.remove("old-1");
                run("old-3", "v1");
            }
            case OTHER_SOFTWARE_ANNOUNCED -> run("old-1", "v2");
            case OTHER_SOFTWARE_WITH_AN_OLDER_COPY_OF_THE_STORE -> {
                runUnannounced();
                alive().forEach(Entry::readOlderCopy);
            }
            case OTHER_SOFTWARE_NOT_ANNOUNCED -> {
                runUnannounced();
                // Entries that had connections have seen them end and be refused.
                alive().forEach(
                                entry ->
                                        entry.mUpstreams
                                                .find(new UpstreamId("old-1"))
                                                .orElseThrow()
                                                .doubtRun(mTime.nanoTime()));
            }
            default -> run("new-2", "v2");
        }
        alive().forEach(Entry::readStore);
    }

    private void runUnannounced() {
        mRunning.put("old-1", "v2");
        mAnnounceAt = Optional.of(mTime.nanoTime() + ANNOUNCED_AFTER.toNanos());
    }

    private static Optional<StreamOrigin> find(Entry entry, StreamKey key) {
        List<Optional<StreamOrigin>> answers = new ArrayList<>();
        entry.mOrigins.find(key, answers::add);
        return answers.get(0);
    }

    /** Returns whether the stream went on. */
    private boolean takeUp(Stream stream, Outcomes outcomes) {
        List<Entry> alive = alive();
        Entry entry = alive.get(mRandom.nextInt(alive.size()));
        assertEquals(
                find(entry, stream.keyOfAnother()),
                Optional.empty(),
                "a stream of another request");
        Optional<StreamOrigin> origin = find(entry, stream.key());
        while (origin.filter(StreamOrigin::provisional).isPresent()) {
            advance(STEP);
            origin = find(entry, stream.key());
        }
        Optional<SoftwareVersion> version = origin.flatMap(known -> known.versionIn(ENGINES));
        if (version.isEmpty()) {
            outcomes.mUnknown++;
            return false;
        }
        while (!entry.mUpstreams.isSettled()) {
            advance(STEP);
        }
        List<UpstreamNode> candidates =
                entry.mUpstreams.of(ENGINES).stream()
                        .filter(node -> node.softwareVersion().equals(version))
                        .toList();
        if (candidates.isEmpty()) {
            outcomes.mUnavailable++;
            return false;
        }
        UpstreamNode node = candidates.get(mRandom.nextInt(candidates.size()));
        String running = mRunning.get(node.entry().id().value());
        outcomes.mMixed += running.equals(stream.writtenBy()) ? 0 : 1;
        outcomes.mServed++;
        return true;
    }
}
