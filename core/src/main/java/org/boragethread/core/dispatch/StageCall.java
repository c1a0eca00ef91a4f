package org.boragethread.core.dispatch;

import java.nio.ByteBuffer;
import java.util.Objects;
import java.util.Optional;
import org.boragethread.model.claim.ClaimRef;
import org.boragethread.model.outcome.AttemptId;
import org.boragethread.model.pipeline.Stage;
import org.boragethread.model.team.Priority;
import org.boragethread.model.team.TeamId;

/** A call to an agent to run one attempt of a stage. */
public final class StageCall {

    private final AttemptId mId;
    private final Stage mStage;
    private final TeamId mTeam;
    private final int mTeamWeight;
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
        mTeamWeight = builder.mTeamWeight;
        mPriority = Objects.requireNonNull(builder.mPriority, "priority");
        mDeadlineNanos = builder.mDeadlineNanos;
        mContentType = Objects.requireNonNull(builder.mContentType, "contentType");
        mBody = Objects.requireNonNull(builder.mBody, "body");
        mResumeFrom = builder.mResumeFrom;
        mClaim = Objects.requireNonNull(builder.mClaim, "claim");
    }

    /** Returns the identifier of the attempt, which the result must contain. */
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

    /** Returns the team's weight relative to other teams with queued calls. */
    public int teamWeight() {
        return mTeamWeight;
    }

    /** Returns the priority among queued calls. */
    public Priority priority() {
        return mPriority;
    }

    /** Returns the monotonic time by which the response must be complete, in nanoseconds. */
    public long deadlineNanos() {
        return mDeadlineNanos;
    }

    /** Returns the media type of the body. */
    public String contentType() {
        return mContentType;
    }

    /** Returns a read-only view of the body with an independent position. */
    public ByteBuffer body() {
        return mBody.asReadOnlyBuffer();
    }

    /** Returns how many tokens the caller has already received from an interrupted stream. */
    public int resumeFrom() {
        return mResumeFrom;
    }

    /** Returns the claim that grants the right to run the call, if one is required. */
    public Optional<ClaimRef> claim() {
        return mClaim;
    }

    /** Builder of stage calls. */
    public static final class Builder {
        private AttemptId mId;
        private Stage mStage;
        private TeamId mTeam;
        private int mTeamWeight = 1;
        private Priority mPriority = Priority.NORMAL;
        private long mDeadlineNanos;
        private String mContentType = "application/octet-stream";
        private ByteBuffer mBody = ByteBuffer.allocate(0);
        private int mResumeFrom;
        private Optional<ClaimRef> mClaim = Optional.empty();

        /** Sets the identifier of the attempt, which the result must contain. */
        public Builder id(AttemptId id) {
            mId = id;
            return this;
        }

        /** Sets the stage to run. */
        public Builder stage(Stage stage) {
            mStage = stage;
            return this;
        }

        /** Sets the caller's team and its weight relative to other teams with queued calls. */
        public Builder team(TeamId team, int weight) {
            mTeam = team;
            mTeamWeight = weight;
            return this;
        }

        /** Sets the priority among queued calls. */
        public Builder priority(Priority priority) {
            mPriority = priority;
            return this;
        }

        /** Sets the monotonic time by which the response must be complete, in nanoseconds. */
        public Builder deadlineNanos(long deadlineNanos) {
            mDeadlineNanos = deadlineNanos;
            return this;
        }

        /** Sets the input of the stage; the buffer must not be modified afterwards. */
        public Builder body(String contentType, ByteBuffer body) {
            mContentType = contentType;
            mBody = body;
            return this;
        }

        /** Sets how many tokens the caller has already received from an interrupted stream. */
        public Builder resumeFrom(int tokens) {
            mResumeFrom = tokens;
            return this;
        }

        /** Sets the claim, which must name the agent, and its incarnation, that gets the call. */
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
