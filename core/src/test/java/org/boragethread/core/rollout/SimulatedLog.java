package org.boragethread.core.rollout;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.boragethread.core.follow.ReadFailure;
import org.boragethread.core.follow.StoreEra;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.core.time.TimeSource;

/**
 * Partition of a store that loses responses, executes appends late and goes back to older copies.
 */
final class SimulatedLog {

    private final TimeSource mTime;
    private final SplittableRandom mRandom;
    private final List<LateAppend> mLate = new ArrayList<>();
    private List<Optional<RolloutState>> mRecords = new ArrayList<>();
    private long mEra = 1;
    private int mReversals;

    SimulatedLog(ManualTimeSource time, SplittableRandom random) {
        mTime = time;
        mRandom = random;
    }

    Optional<RolloutState> state() {
        Optional<RolloutState> state = Optional.empty();
        for (Optional<RolloutState> entry : mRecords) {
            state = entry.isPresent() ? entry : state;
        }
        return state;
    }

    void read(boolean isCut, Consumer<Either<ReadFailure, RolloutRead>> callback) {
        callback.accept(
                isCut
                        ? Either.left(ReadFailure.unreachable("cut off"))
                        : Either.right(
                                new RolloutRead(state(), mRecords.size(), new StoreEra(mEra))));
    }

    void append(
            RolloutState state,
            long end,
            boolean isCut,
            boolean isFaulty,
            Consumer<RolloutLog.AppendResult> callback) {
        int fate = isFaulty ? mRandom.nextInt(6) : 5;
        if (isCut || fate == 0) {
            callback.accept(RolloutLog.AppendResult.UNKNOWN);
        } else if (fate == 1) {
            long due = mTime.millis() + 200 + mRandom.nextInt(3000);
            mLate.add(new LateAppend(state, end, due));
            callback.accept(RolloutLog.AppendResult.UNKNOWN);
        } else {
            boolean isDone = appendAt(Optional.of(state), end);
            RolloutLog.AppendResult result =
                    isDone ? RolloutLog.AppendResult.APPENDED : RolloutLog.AppendResult.END_MOVED;
            callback.accept(fate == 2 ? RolloutLog.AppendResult.UNKNOWN : result);
        }
    }

    /** Returns how often a terminal state was followed by another phase of the same order. */
    int reversals() {
        return mReversals;
    }

    void appendOther() {
        mRecords.add(Optional.empty());
    }

    void runLateAppends() {
        long now = mTime.millis();
        mLate.stream()
                .filter(append -> append.due() <= now)
                .forEach(append -> appendAt(Optional.of(append.state()), append.end()));
        mLate.removeIf(append -> append.due() <= now);
    }

    void restore() {
        int kept = mRandom.nextInt(mRecords.size() + 1);
        mRecords = new ArrayList<>(mRecords.subList(0, kept));
        mLate.clear();
        mEra++;
    }

    private boolean appendAt(Optional<RolloutState> state, long end) {
        Optional<RolloutState> before = state();
        boolean isDone = end == mRecords.size() && mRecords.add(state);
        boolean isReversal =
                before.filter(known -> known.phase().isEnded())
                        .filter(known -> known.order().equals(state.get().order()))
                        .filter(known -> known.phase() != state.get().phase())
                        .isPresent();
        mReversals += isDone && isReversal ? 1 : 0;
        return isDone;
    }

    private record LateAppend(RolloutState state, long end, long due) {}
}
