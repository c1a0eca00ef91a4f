package org.boragethread.core.callback;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.boragethread.core.follow.KeyedRecord;
import org.boragethread.core.follow.ReadFailure;
import org.boragethread.core.follow.RecordPublisher;
import org.boragethread.core.follow.StoreEra;
import org.boragethread.core.follow.TopicAppender;
import org.boragethread.core.member.GroupMembership;
import org.boragethread.core.member.JoinedGroup;
import org.boragethread.core.member.MemberGroup;
import org.boragethread.core.member.PartitionLease;
import org.boragethread.core.time.ManualTimeSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests activities of a process of which one callback throws. */
public class ThrowingActivityTest {

    private static final Duration INTERVAL = Duration.ofSeconds(1);
    private static final Duration LEASE = Duration.ofSeconds(3);

    private ManualTimeSource mTime;
    private List<Throwable> mReports;
    private Store mStore;
    private List<List<String>> mMembers;
    private boolean mListenerThrows;
    private PartitionLease mLease;
    private GroupMembership mMembership;
    private RecordPublisher mPublisher;

    @BeforeMethod
    public void create() {
        mTime = new ManualTimeSource();
        mReports = new ArrayList<>();
        mStore = new Store();
        mMembers = new ArrayList<>();
        mListenerThrows = false;
        mLease = new PartitionLease(mTime, 12, LEASE);
        Supervisor supervisor = Supervisors.reporting(mReports::add);
        mMembership =
                new GroupMembership(
                        mStore, mTime, mTime, mLease, INTERVAL, this::onMembers, supervisor);
        mPublisher = new RecordPublisher(mStore, mTime, INTERVAL, supervisor);
    }

    private void onMembers(List<String> members) {
        if (mListenerThrows) {
            throw new IllegalStateException("listener");
        }
        mMembers.add(members);
    }

    private void run(int millis) {
        // A failure that nobody handles must not end the simulated event loop.
        for (int i = 0; i < millis; i += 10) {
            attempt(() -> mTime.advance(Duration.ofMillis(10)));
        }
    }

    private static void attempt(Runnable action) {
        try {
            action.run();
        } catch (IllegalStateException | NullPointerException ignored) {
            // Its consequences are checked.
        }
    }

    /** Returns what throws for a while: the call itself, or what handles its response. */
    @DataProvider
    public Object[][] failures() {
        return new Object[][] {{Failure.CALL}, {Failure.RESPONSE}, {Failure.LISTENER}};
    }

    // Guards against an entry that leaves its group because one callback threw.
    @Test(dataProvider = "failures")
    public void membershipIsRenewedAfterAFailure(Failure failure) {
        fail(failure);
        mMembership.start();
        run(2500);
        recover();
        run(2000);
        int joins = mStore.mJoins;
        run(10_000);
        assertFalse(mReports.isEmpty());
        assertEquals(mStore.mJoins - joins, 10);
        assertEquals(mLease.units("limit", 12, INTERVAL), 2);
        assertEquals(mMembers, List.of(List.of("a", "b")));
    }

    // Guards against an entry that remains in its group because its last renewal threw.
    @Test(dataProvider = "failures")
    public void stopLeavesTheGroupAfterAFailure(Failure failure) {
        mMembership.start();
        run(5000);
        fail(failure);
        attempt(() -> mMembership.stop(Duration.ofSeconds(1), left -> {}));
        run(2000);
        assertEquals(mStore.mLeaves, 1);
    }

    /** Returns what throws for a while while a record is written. */
    @DataProvider
    public Object[][] appendFailures() {
        return new Object[][] {{Failure.CALL}, {Failure.RESPONSE}};
    }

    // Guards against reports that are never written again because one write threw.
    @Test(dataProvider = "appendFailures")
    public void recordIsWrittenAfterAFailure(Failure failure) {
        fail(failure);
        attempt(() -> mPublisher.put("a", Optional.of(new byte[1])));
        run(2500);
        recover();
        mPublisher.put("b", Optional.of(new byte[1]));
        run(2000);
        assertFalse(mReports.isEmpty());
        assertTrue(mStore.mWritten.containsAll(Set.of("a", "b")), mStore.mWritten.toString());
    }

    // Guards against callers, for example requests, that fail with the write of a report.
    @Test
    public void putDoesNotThrow() {
        fail(Failure.CALL);
        mPublisher.put("a", Optional.of(new byte[1]));
        assertEquals(mReports.size(), 1);
    }

    private void fail(Failure failure) {
        mStore.mFailure = Optional.of(failure);
        mListenerThrows = failure == Failure.LISTENER;
    }

    private void recover() {
        mStore.mFailure = Optional.empty();
        mListenerThrows = false;
    }

    /** What throws. */
    public enum Failure {
        CALL,
        RESPONSE,
        LISTENER
    }

    /** An in-memory store that responds after 10 ms, or throws. */
    private final class Store implements MemberGroup, TopicAppender {

        private final List<String> mWritten = new ArrayList<>();
        private Optional<Failure> mFailure = Optional.empty();
        private int mJoins;
        private int mLeaves;

        @Override
        public void join(long generation, Consumer<Either<ReadFailure, JoinedGroup>> callback) {
            check(Failure.CALL);
            mJoins++;
            respond(callback, new JoinedGroup(1, Set.of(0, 1), new StoreEra(1)));
        }

        @Override
        public void members(Consumer<Either<ReadFailure, List<String>>> callback) {
            respond(callback, List.of("a", "b"));
        }

        @Override
        public void leave(Consumer<Either<ReadFailure, Boolean>> callback) {
            mLeaves++;
        }

        @Override
        public void append(
                List<KeyedRecord> records, Consumer<Either<ReadFailure, Boolean>> callback) {
            check(Failure.CALL);
            records.forEach(record -> mWritten.add(record.key()));
            respond(callback, true);
        }

        private <T> void respond(Consumer<Either<ReadFailure, T>> callback, T response) {
            boolean broken = mFailure.equals(Optional.of(Failure.RESPONSE));
            Either<ReadFailure, T> sent = broken ? null : Either.right(response);
            mTime.schedule(Duration.ofMillis(10), () -> callback.accept(sent));
        }

        private void check(Failure failure) {
            if (mFailure.equals(Optional.of(failure))) {
                throw new IllegalStateException(failure.name());
            }
        }
    }
}
