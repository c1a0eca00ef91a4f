package org.boragethread.core.member;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.boragethread.core.follow.ReadFailure;
import org.boragethread.core.time.ManualTimeSource;
import org.testng.annotations.Test;

/** Tests {@link MembershipKeeper}. */
public class MembershipKeeperTest {

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final List<List<String>> mSeen = new ArrayList<>();
    private final FakeGroup mGroup = new FakeGroup();
    private final MembershipKeeper mKeeper =
            new MembershipKeeper(mGroup, mTime, Duration.ofSeconds(1), mSeen::add);

    @Test
    public void membersAreReadOnlyWhenTheGenerationChanges() {
        mKeeper.start();
        mTime.advance(Duration.ofSeconds(5));
        assertEquals(mGroup.mMemberReads, 1);
        mGroup.mGeneration++;
        mTime.advance(Duration.ofSeconds(2));
        assertEquals(mGroup.mMemberReads, 2);
        mGroup.mDown = true;
        mTime.advance(Duration.ofSeconds(5));
        mGroup.mDown = false;
        mTime.advance(Duration.ofSeconds(2));
        assertEquals(mSeen.size(), 2);
        assertTrue(mGroup.mJoins >= 10);
    }

    /** A group in memory. */
    private static final class FakeGroup implements MemberGroup {

        private long mGeneration = 1;
        private boolean mDown;
        private int mJoins;
        private int mMemberReads;

        @Override
        public void join(long generation, Consumer<Either<ReadFailure, Long>> receiver) {
            mJoins++;
            receiver.accept(
                    mDown
                            ? Either.left(ReadFailure.unreachable("down"))
                            : Either.right(mGeneration));
        }

        @Override
        public void members(Consumer<Either<ReadFailure, List<String>>> receiver) {
            mMemberReads++;
            receiver.accept(Either.right(List.of("a", "b")));
        }

        @Override
        public void leave(Consumer<Either<ReadFailure, Boolean>> receiver) {
            receiver.accept(Either.right(true));
        }
    }
}
