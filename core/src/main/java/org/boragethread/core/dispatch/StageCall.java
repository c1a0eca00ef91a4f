package org.boragethread.core.dispatch;

import java.nio.ByteBuffer;
import java.util.Objects;
import java.util.Optional;
import org.boragethread.model.claim.ClaimRef;
import org.boragethread.model.outcome.AttemptId;
import org.boragethread.model.pipeline.Stage;
import org.boragethread.model.team.Priority;
import org.boragethread.model.team.TeamId;

/** One attempt at one stage, as it is sent to an agent. */
public final class StageCall {

    private final AttemptId mId;
    private final Stage mStage;
    private final TeamId mTeam;
    private final int mWeight;
    private final Priority mPriority;
    private final long mDeadlineNanos;
    private final String mContentType;
    private final ByteBuffer mBody;
    private final int mResumeFrom;
    private final Optional<ClaimRef> mClaim;

    private StageCall(Builder builder) {
        mId = Objects.requireNonNull(builder.mId, "id");
        mStage = Objects.requireNonNull(builder.mStage, "stage");
        mTeam = Objects.requireNonNull(builder.mTeam, "team");
        mWeight = builder.mWeight;
        mPriority = Objects.requireNonNull(builder.mPriority, "priority");
        mDeadlineNanos = builder.mDeadlineNanos;
        mContentType = Objects.requireNonNull(builder.mContentType, "contentType");
        mBody = Objects.requireNonNull(builder.mBody, "body");
        mResumeFrom = builder.mResumeFrom;
        mClaim = Objects.requireNonNull(builder.mClaim, "claim");
    }

    /** Returns the identity that the result must name. */
    public AttemptId id() {
        return mId;
    }

    /** Returns the stage to run. */
    public Stage stage() {
        return mStage;
    }

    /** Returns the caller's team. */
    public TeamId team() {
        return mTeam;
    }

    /** Returns the team's share relative to other waiting teams. */
    public int weight() {
        return mWeight;
    }

    /** Returns the order among waiting calls. */
    public Priority priority() {
        return mPriority;
    }

    /** Returns the monotonic time by which the answer must be whole, in nanoseconds. */
    public long deadlineNanos() {
        return mDeadlineNanos;
    }

    /** Returns the media type of the body. */
    public String contentType() {
        return mContentType;
    }

    /** Returns a read-only view of the body with a position of its own. */
    public ByteBuffer body() {
        return mBody.asReadOnlyBuffer();
    }

    /** Returns the number of tokens that the caller already has from a broken stream. */
    public int resumeFrom() {
        return mResumeFrom;
    }

    /** Returns the claim that gives the right to run the call, if it needs one. */
    public Optional<ClaimRef> claim() {
        return mClaim;
    }

    /** Makes stage calls. */
    public static final class Builder {
        private AttemptId mId;
        private Stage mStage;
        private TeamId mTeam;
        private int mWeight = 1;
        private Priority mPriority = Priority.NORMAL;
        private long mDeadlineNanos;
        private String mContentType = "application/octet-stream";
        private ByteBuffer mBody = ByteBuffer.allocate(0);
        private int mResumeFrom;
        private Optional<ClaimRef> mClaim = Optional.empty();

        /** Sets the identity that the result must name. */
        public Builder id(AttemptId id) {
            mId = id;
            return this;
        }

        /** Sets the stage to run. */
        public Builder stage(Stage stage) {
            mStage = stage;
            return this;
        }

        /** Sets the caller's team and its share. */
        public Builder team(TeamId team, int weight) {
            mTeam = team;
            mWeight = weight;
            return this;
        }

        /** Sets the order among waiting calls. */
        public Builder priority(Priority priority) {
            mPriority = priority;
            return this;
        }

        /** Sets the monotonic time by which the answer must be whole, in nanoseconds. */
        public Builder deadlineNanos(long deadlineNanos) {
            mDeadlineNanos = deadlineNanos;
            return this;
        }

        /** Sets the input of the stage; the buffer must not change afterwards. */
        public Builder body(String contentType, ByteBuffer body) {
            mContentType = contentType;
            mBody = body;
            return this;
        }

        /** Sets the number of tokens that the caller already has from a broken stream. */
        public Builder resumeFrom(int tokens) {
            mResumeFrom = tokens;
            return this;
        }

        /** Sets the claim, which must name the agent and incarnation that the call is sent to. */
        public Builder claim(Optional<ClaimRef> claim) {
            mClaim = claim;
            return this;
        }

        /** Returns the call. */
        public StageCall build() {
            return new StageCall(this);
        }
    }
}
