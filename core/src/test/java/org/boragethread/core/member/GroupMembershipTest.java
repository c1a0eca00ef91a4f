package org.boragethread.core.member;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.boragethread.core.callback.Supervisors;
import org.boragethread.core.follow.ReadFailure;
import org.boragethread.core.follow.StoreEra;
import org.boragethread.core.time.ManualTimeSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link GroupMembership}. */
public class GroupMembershipTest {

    private ManualTimeSource mTime;
    private List<List<String>> mReportedMembers;
    private PartitionLease mLease;
    private FakeGroup mGroup;
    private GroupMembership mMembership;

    @BeforeMethod
    public void create() {
        mTime = new ManualTimeSource();
        mReportedMembers = new ArrayList<>();
        mLease = new PartitionLease(mTime, 12, Duration.ofSeconds(5));
        mGroup = new FakeGroup();
        mMembership =
                new GroupMembership(
                        mGroup,
                        mTime,
                        mTime,
                        mLease,
                        Duration.ofSeconds(1),
                        mReportedMembers::add,
                        Supervisors.rethrowing());
    }

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
        new GroupMembership(
                        group,
                        time,
                        time,
                        lease,
                        Duration.ofSeconds(1),
                        members -> {},
                        Supervisors.rethrowing())
                .start();
        time.advance(Duration.ofSeconds(2));
        assertEquals(group.mMemberReads, 1);
        group.mEra = new StoreEra(2);
        time.advance(Duration.ofSeconds(2));
        assertEquals(group.mMemberReads, 2);
    }

    // Guards against a stop that gives up shares which the last requests still need.
    @Test
    public void stopKeepsTheLeasedPartitionsWhileTheProcessServes() {
        mMembership.start();
        mTime.advance(Duration.ofSeconds(10));
        assertEquals(units(), 2);
        mMembership.stop(Duration.ofSeconds(7), left -> {});
        for (int millis = 0; millis < 7000; millis += 100) {
            assertEquals(units(), 2, millis + " ms after the beginning of the stop");
            mTime.advance(Duration.ofMillis(100));
        }
        assertEquals(units(), 0);
    }

    // Guards against a process that stays a member while it stops, or joins again.
    @Test
    public void stopLeavesTheGroupOnceTheLeaseLastsUntilTheEnd() {
        mMembership.start();
        mTime.advance(Duration.ofMillis(9500));
        mMembership.stop(Duration.ofSeconds(7), left -> {});
        mTime.advance(Duration.ofMillis(1999));
        assertEquals(mGroup.mLeaves, 0);
        mTime.advance(Duration.ofMillis(1));
        assertEquals(mGroup.mLeaves, 1);
        int joins = mGroup.mJoins;
        mTime.advance(Duration.ofSeconds(10));
        assertEquals(mGroup.mJoins, joins);
        assertEquals(mGroup.mLeaves, 1);
    }

    // Guards against a short stop, or one without the store, that never leaves the group.
    @Test
    public void shortStopLeavesTheGroupAtOnceAlsoIfTheRenewalFails() {
        mMembership.start();
        mTime.advance(Duration.ofSeconds(10));
        mGroup.mUnreachable = true;
        mMembership.stop(Duration.ofSeconds(3), left -> {});
        assertEquals(mGroup.mLeaves, 1);
        mTime.advance(Duration.ofMillis(2900));
        assertEquals(units(), 2);
        mTime.advance(Duration.ofMillis(100));
        assertEquals(units(), 0);
    }

    // Guards against a last renewal of partitions that another process held in between.
    @Test
    public void stopDoesNotRenewTheLeaseIfPartitionsHaveMoved() {
        mMembership.start();
        mTime.advance(Duration.ofMillis(10_900));
        mGroup.mGeneration++;
        mMembership.stop(Duration.ofSeconds(5), left -> {});
        mTime.advance(Duration.ofMillis(4099));
        assertEquals(units(), 2);
        mTime.advance(Duration.ofMillis(1));
        assertEquals(units(), 0);
    }

    // Guards against a process that ends early without leaving, or that leaves twice.
    @Test
    public void processThatEndsBeforeItsStopLeavesOnce() {
        mMembership.start();
        mMembership.stop(Duration.ofSeconds(20), left -> {});
        assertFalse(mMembership.isLeaving());
        mMembership.leave();
        assertTrue(mMembership.isLeaving());
        mTime.advance(Duration.ofSeconds(30));
        assertEquals(mGroup.mLeaves, 1);
    }

    // Guards against shares that end before the last requests because one renewal failed.
    @Test
    public void stopRenewsTheLeaseAgainIfTheLastRenewalFails() {
        mMembership.start();
        mTime.advance(Duration.ofMillis(9900));
        mMembership.stop(Duration.ofSeconds(7), left -> {});
        mTime.advance(Duration.ofMillis(1800));
        mGroup.mUnreachable = true;
        mTime.advance(Duration.ofMillis(700));
        assertEquals(mGroup.mLeaves, 0);
        mGroup.mUnreachable = false;
        for (int millis = 2500; millis < 7000; millis += 100) {
            assertEquals(units(), 2, millis + " ms after the beginning of the stop");
            mTime.advance(Duration.ofMillis(100));
        }
        assertEquals(units(), 0);
        assertEquals(mGroup.mLeaves, 1);
    }

    // Guards against a stop without the store that never leaves the group, or leaves it twice.
    @Test
    public void stopLeavesOnceIfEveryRenewalFails() {
        mMembership.start();
        mTime.advance(Duration.ofMillis(9900));
        mMembership.stop(Duration.ofSeconds(7), left -> {});
        mGroup.mUnreachable = true;
        mTime.advance(Duration.ofSeconds(7));
        mMembership.leave();
        assertEquals(units(), 0);
        assertEquals(mGroup.mLeaves, 1);
        int joins = mGroup.mJoins;
        mTime.advance(Duration.ofSeconds(5));
        assertEquals(mGroup.mJoins, joins);
        assertEquals(mGroup.mLeaves, 1);
    }

    private int units() {
        return mLease.units("limit", 12, Duration.ofSeconds(1));
    }

    /** An in-memory group. */
    private static final class FakeGroup implements MemberGroup {

        private long mGeneration = 1;
        private StoreEra mEra = new StoreEra(1);
        private boolean mUnreachable;
        private int mJoins;
        private int mMemberReads;
        private int mLeaves;

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
            mLeaves++;
            callback.accept(Either.right(true));
        }
    }
}
