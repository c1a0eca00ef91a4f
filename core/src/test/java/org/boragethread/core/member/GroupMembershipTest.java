package org.boragethread.core.member;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.boragethread.core.follow.ReadFailure;
import org.boragethread.core.follow.StoreEra;
import org.boragethread.core.time.ManualTimeSource;
import org.testng.annotations.Test;

/** Tests {@link GroupMembership}. */
public class GroupMembershipTest {

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final List<List<String>> mReportedMembers = new ArrayList<>();
    private final PartitionLease mLease = new PartitionLease(mTime, 12, Duration.ofSeconds(5));
    private final FakeGroup mGroup = new FakeGroup();
    private final GroupMembership mMembership =
            new GroupMembership(
                    mGroup, mTime, mTime, mLease, Duration.ofSeconds(1), mReportedMembers::add);

    @Test
    public void membersAreReadOnlyWhenTheGenerationChanges() {
        mMembership.start();
        mTime.advance(Duration.ofSeconds(5));
        assertEquals(mGroup.mMemberReads, 1);
        mGroup.mGeneration++;
        mTime.advance(Duration.ofSeconds(2));
        assertEquals(mGroup.mMemberReads, 2);
        mGroup.mUnreachable = true;
        mTime.advance(Duration.ofSeconds(5));
        mGroup.mUnreachable = false;
        mTime.advance(Duration.ofSeconds(2));
        assertEquals(mReportedMembers.size(), 2);
        assertTrue(mGroup.mJoins >= 10);
    }

    /** An older copy of the store gave out a generation again, with other members. */
    @Test
    public void membersAreReadAgainWhenTheStoreWorksWithAnotherCopy() {
        ManualTimeSource time = new ManualTimeSource();
        FakeGroup group = new FakeGroup();
        PartitionLease lease = new PartitionLease(time, 12, Duration.ofSeconds(5));
        new GroupMembership(group, time, time, lease, Duration.ofSeconds(1), members -> {}).start();
        time.advance(Duration.ofSeconds(2));
        assertEquals(group.mMemberReads, 1);
        group.mEra = new StoreEra(2);
        time.advance(Duration.ofSeconds(2));
        assertEquals(group.mMemberReads, 2);
    }

    /** A stopping process serves on for seconds while its partitions are assigned to others. */
    @Test
    public void stopGivesUpTheLeasedPartitionsAtOnce() {
        mMembership.start();
        mTime.advance(Duration.ofSeconds(10));
        assertEquals(mLease.units("limit", 12, Duration.ofSeconds(1)), 2);
        mMembership.stop(left -> {});
        assertEquals(mLease.units("limit", 12, Duration.ofSeconds(1)), 0);
    }

    /** An in-memory group. */
    private static final class FakeGroup implements MemberGroup {

        private long mGeneration = 1;
        private StoreEra mEra = new StoreEra(1);
        private boolean mUnreachable;
        private int mJoins;
        private int mMemberReads;

        @Override
        public void join(long generation, Consumer<Either<ReadFailure, JoinedGroup>> callback) {
            mJoins++;
            callback.accept(
                    mUnreachable
                            ? Either.left(ReadFailure.unreachable("down"))
                            : Either.right(new JoinedGroup(mGeneration, Set.of(0, 1), mEra)));
        }

        @Override
        public void members(Consumer<Either<ReadFailure, List<String>>> callback) {
            mMemberReads++;
            callback.accept(Either.right(List.of("a", "b")));
        }

        @Override
        public void leave(Consumer<Either<ReadFailure, Boolean>> callback) {
            callback.accept(Either.right(true));
        }
    }
}
