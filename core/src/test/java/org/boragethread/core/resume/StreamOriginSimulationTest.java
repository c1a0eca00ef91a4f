package org.boragethread.core.resume;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.boragethread.core.member.Member;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.SoftwareVersion;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Simulates entries that are killed, restarted and cut off while streams begin and are taken up.
 */
public class StreamOriginSimulationTest {

    private static final GroupId ENGINES = new GroupId("engines");
    private static final int DATA_CENTRES = 4;
    private static final int ROUNDS = 60;
    private static final int STREAMS = 40;

    /** Rounds after which other entries notice that one was killed or has started. */
    private static final int MEMBERSHIP_LAG = 3;

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final List<Entry> mEntries = new ArrayList<>();
    private SplittableRandom mRandom = new SplittableRandom(0);

    /** A simulated entry; a restarted one keeps its address and has an empty directory. */
    private final class Entry implements StreamOriginPeers {

        private final Member mMember;
        private StreamOriginDirectory mDirectory;
        private int mDisturbedAt = -MEMBERSHIP_LAG;
        private boolean mCutOff;

        Entry(int number) {
            mMember =
                    new Member(
                            "10.0.0." + number + ":1",
                            number,
                            100,
                            new DataCentreId("dc-" + number % DATA_CENTRES));
            restart();
        }

        void restart() {
            mDirectory = new StreamOriginDirectory(mMember.address(), mTime, this, () -> {});
        }

        @Override
        public void record(String peer, StreamKey key, StreamOrigin origin, Runnable onFailure) {
            Entry target = find(peer);
            if (mCutOff || target.mCutOff) {
                onFailure.run();
                return;
            }
            target.mDirectory.remember(key, origin);
        }

        @Override
        public void query(String peer, StreamKey key, Consumer<Optional<StreamOrigin>> callback) {
            Entry target = find(peer);
            boolean isReached = !mCutOff && !target.mCutOff;
            callback.accept(isReached ? target.mDirectory.recall(key) : Optional.empty());
        }
    }

    /** A stream with the version that began it. */
    private record Stream(StreamKey key, StreamOrigin origin, int round) {}

    private Entry find(String address) {
        return mEntries.stream()
                .filter(entry -> entry.mMember.address().equals(address))
                .findFirst()
                .orElseThrow();
    }

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{3, 1}, {5, 2}, {5, 3}, {33, 4}, {300, 5}, {1200, 6}};
    }

    // Guards against streams that cannot be taken up elsewhere once the entry that began them
    // fails.
    @Test(dataProvider = "sizes")
    public void versionIsFoundByMostEntriesInTouchAndNeverWrong(int entries, int seed) {
        mRandom = new SplittableRandom(seed);
        mEntries.clear();
        for (int i = 0; i < entries; i++) {
            mEntries.add(new Entry(i));
        }
        List<Stream> begun = new ArrayList<>();
        int found = 0;
        int asked = 0;
        for (int round = 0; round < ROUNDS; round++) {
            disturb(round);
            updateMembers(round);
            begin(begun, round);
            for (int i = 0; i < STREAMS / 2; i++) {
                Stream stream = begun.get(mRandom.nextInt(begun.size()));
                Entry entry = mEntries.get(mRandom.nextInt(entries));
                Optional<StreamOrigin> answer = ask(entry, stream.key());
                answer.ifPresent(origin -> assertEquals(origin, stream.origin()));
                boolean isInTouch = !entry.mCutOff && round - entry.mDisturbedAt >= MEMBERSHIP_LAG;
                asked += isInTouch && round - stream.round() < MEMBERSHIP_LAG ? 1 : 0;
                found +=
                        isInTouch && round - stream.round() < MEMBERSHIP_LAG && answer.isPresent()
                                ? 1
                                : 0;
            }
        }
        assertTrue(asked > 0 && found >= asked / 2, found + " of " + asked + " found");
    }

    private void disturb(int round) {
        mEntries.forEach(entry -> entry.mCutOff &= mRandom.nextInt(3) > 0);
        int disturbed = Math.max(1, mEntries.size() / 10);
        for (int i = 0; i < disturbed; i++) {
            Entry entry = mEntries.get(mRandom.nextInt(mEntries.size()));
            entry.mDisturbedAt = round;
            if (mRandom.nextBoolean()) {
                entry.restart();
            } else {
                entry.mCutOff = true;
            }
        }
    }

    /** Entries learn of others late; one that has just started knows those that live. */
    private void updateMembers(int round) {
        Set<Member> missing = new HashSet<>();
        for (Entry entry : mEntries) {
            int age = round - entry.mDisturbedAt;
            if (entry.mCutOff && age >= MEMBERSHIP_LAG) {
                missing.add(entry.mMember);
            }
        }
        List<Member> members =
                mEntries.stream()
                        .map(entry -> entry.mMember)
                        .filter(member -> !missing.contains(member))
                        .toList();
        for (Entry entry : mEntries) {
            if (!entry.mCutOff) {
                entry.mDirectory.setMembers(members);
            }
        }
    }

    private void begin(List<Stream> begun, int round) {
        for (int i = 0; i < STREAMS; i++) {
            StreamKey key = StreamKey.of("team", round + "/" + i, i);
            SoftwareVersion version = new SoftwareVersion("v" + mRandom.nextInt(3));
            StreamOrigin origin = new StreamOrigin(ENGINES, Optional.of(version));
            mEntries.get(mRandom.nextInt(mEntries.size())).mDirectory.record(key, origin);
            begun.add(new Stream(key, origin, round));
        }
    }

    private static Optional<StreamOrigin> ask(Entry entry, StreamKey key) {
        List<Optional<StreamOrigin>> answers = new ArrayList<>();
        entry.mDirectory.find(key, answers::add);
        assertEquals(answers.size(), 1, "each query is answered once");
        return answers.get(0);
    }
}
