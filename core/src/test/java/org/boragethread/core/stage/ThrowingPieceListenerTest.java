package org.boragethread.core.stage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.boragethread.core.callback.CallbackGuard;
import org.boragethread.core.callback.Supervisor;
import org.boragethread.core.retry.SharedRetryBudget;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.routing.BatchLimits;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests pieces of several requests that share calls, when a callback of one of them throws. */
public class ThrowingPieceListenerTest {

    private static final BatchLimits LIMITS =
            new BatchLimits(
                    1,
                    2,
                    7,
                    Duration.ofMillis(150),
                    Duration.ofMillis(18),
                    1 << 30,
                    Duration.ofSeconds(4));

    private ManualTimeSource mTime;
    private SimUpstreams mUpstreams;
    private Client mClient;
    private CallbackGuard mGuard;
    private BatchScheduler mScheduler;
    private List<String> mReports;
    private Set<String> mCompleted;
    private Set<String> mFailed;
    private Optional<String> mThrowing;

    @BeforeMethod
    public void create() {
        mTime = new ManualTimeSource();
        mUpstreams = new SimUpstreams(mTime, LIMITS, "north");
        mClient = new Client();
        mReports = new ArrayList<>();
        mCompleted = new TreeSet<>();
        mFailed = new TreeSet<>();
        mThrowing = Optional.empty();
        mGuard = new CallbackGuard(cause -> mReports.add("process"));
        mScheduler =
                new BatchScheduler(
                        mUpstreams,
                        mClient,
                        new SharedRetryBudget(mTime, 0, Duration.ofSeconds(10), () -> 100),
                        mTime,
                        mTime,
                        new Supervisor(mGuard, cause -> mReports.add("stages")),
                        new LocalStagePolicy());
    }

    private void submit(String request) {
        long now = mTime.nanoTime();
        PieceUrgency urgency =
                new PieceUrgency(0, now + Duration.ofSeconds(2).toNanos(), false, false);
        PieceWork work =
                new PieceWork(
                        request,
                        0,
                        0,
                        now + Duration.ofSeconds(3).toNanos(),
                        "key",
                        1000,
                        Optional.empty());
        PendingPiece piece = new PendingPiece(work, urgency, Optional.empty(), new Listener(), now);
        mGuard.run(
                cause -> mReports.add("request " + request),
                () -> mScheduler.submit(List.of(piece)));
    }

    private void run(int millis) {
        // A failure that nobody handles must not end the simulated event loop.
        for (int i = 0; i < millis; i++) {
            try {
                mTime.advance(Duration.ofMillis(1));
            } catch (IllegalStateException | NullPointerException ignored) {
                // Its consequences are checked.
            }
        }
    }

    /** Returns whether the pieces of a call complete or fail. */
    @DataProvider
    public Object[][] outcomes() {
        return new Object[][] {{false}, {true}};
    }

    // Guards against requests that wait for results which another request's callback lost.
    @Test(dataProvider = "outcomes")
    public void otherRequestsOfTheCallGetTheirOutcome(boolean failing) {
        if (failing) {
            mUpstreams.failCalls("maker-0");
        }
        submit("first");
        run(5);
        mThrowing = Optional.of("b");
        submit("a");
        submit("b");
        submit("c");
        run(2900);
        Set<String> ended = failing ? mFailed : mCompleted;
        assertEquals(ended, Set.of("first", "a", "c"));
        assertEquals(mReports, List.of("request b"));
    }

    /** Returns where a call throws. */
    @DataProvider
    public Object[][] calls() {
        return new Object[][] {{Failure.SEND}, {Failure.RESPONSE}};
    }

    // Guards against pieces without an outcome, and a queue that is stuck, after a call threw.
    @Test(dataProvider = "calls")
    public void piecesOfACallThatThrewFailAndLaterOnesAreServed(Failure failure) {
        mClient.mFailure = Optional.of(failure);
        submit("a");
        run(300);
        mClient.mFailure = Optional.empty();
        submit("b");
        run(1000);
        assertEquals(mFailed, Set.of("a"));
        assertEquals(mCompleted, Set.of("b"));
        assertTrue(mReports.contains("stages"), mReports.toString());
        UpstreamNode upstream = mUpstreams.upstreams().get(0);
        assertEquals(upstream.inFlight(), 0);
        assertEquals(upstream.resultMemory().usedBytes(mTime.nanoTime()), 1000);
    }

    /** Where a call throws. */
    public enum Failure {
        SEND,
        RESPONSE
    }

    /** Passes calls on, or throws. */
    private final class Client implements BatchClient {

        private Optional<Failure> mFailure = Optional.empty();

        @Override
        public void execute(
                UpstreamNode upstream,
                List<PieceWork> pieces,
                Duration timeout,
                Consumer<Either<BatchFailure, BatchResponse>> callback) {
            if (mFailure.isEmpty()) {
                mUpstreams.execute(upstream, pieces, timeout, callback);
                return;
            }
            if (mFailure.get() == Failure.SEND) {
                throw new IllegalStateException("send");
            }
            mTime.schedule(
                    Duration.ofMillis(50),
                    () -> callback.accept(Either.right(new BatchResponse(null, Optional.empty()))));
        }

        @Override
        public void free(UpstreamNode upstream, Collection<String> handles) {
            mUpstreams.free(upstream, handles);
        }
    }

    /** Records outcomes, and throws for one request. */
    private final class Listener implements PieceListener {

        @Override
        public void onCompleted(PieceWork work, ResultLocation location) {
            check(work);
            mCompleted.add(work.requestId());
        }

        @Override
        public void onFailed(PieceWork work, StageFailure failure) {
            check(work);
            mFailed.add(work.requestId());
        }

        private void check(PieceWork work) {
            if (mThrowing.equals(Optional.of(work.requestId()))) {
                throw new IllegalStateException(work.requestId());
            }
        }
    }
}
