package org.boragethread.entry.rollout;

import org.boragethread.platform.store.MalformedRecordException;
import org.boragethread.wire.proto.RolloutReport;

/** Takes the reports on roll-outs that other entries send. */
public final class RolloutReportReceiver {

    private final Rollouts mRollouts;

    /** What the sender is told. */
    public enum Answer {
        /** The report was taken, or the sender only asked whether this process responds. */
        TAKEN,
        /** The report can't be read. */
        MALFORMED,
        /** This process does not decide on roll-outs of the group, so that another entry has to. */
        UNABLE
    }

    /** Creates a receiver that passes reports on to the roll-outs of this process. */
    public RolloutReportReceiver(Rollouts rollouts) {
        mRollouts = rollouts;
    }

    /** Takes a report; an empty one asks only whether this process could take one. */
    public Answer receive(RolloutReport message) {
        if (!mRollouts.canCoordinate()) {
            return Answer.UNABLE;
        }
        if (message.equals(RolloutReport.getDefaultInstance())) {
            return Answer.TAKEN;
        }
        try {
            boolean isKnown = mRollouts.onReport(RolloutReportCodec.decode(message));
            return isKnown ? Answer.TAKEN : Answer.UNABLE;
        } catch (MalformedRecordException e) {
            return Answer.MALFORMED;
        }
    }
}
