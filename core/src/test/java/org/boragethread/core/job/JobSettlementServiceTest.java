package org.boragethread.core.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.boragethread.core.claim.ClaimAnswer;
import org.boragethread.core.claim.ClaimRequest;
import org.boragethread.core.claim.ClaimService;
import org.boragethread.core.claim.ClaimSettings;
import org.boragethread.core.record.SimLog;
import org.boragethread.core.record.SimProcess;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.claim.ClaimOutcome;
import org.boragethread.model.claim.ClaimTarget;
import org.boragethread.model.job.JobDecision;
import org.boragethread.model.job.JobId;
import org.boragethread.model.job.JobStatus;
import org.boragethread.model.outcome.ExecutionStatus;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RequestId;
import org.boragethread.model.pipeline.PipelineId;
import org.boragethread.model.place.EntryId;
import org.boragethread.model.team.TeamId;
import org.boragethread.model.upstream.UpstreamId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link JobSettlementService}. */
public class JobSettlementServiceTest {

    private static final TeamId TEAM = new TeamId("archive");
    private static final JobId JOB = new JobId("job-1");
    private static final EntryId ENTRY = new EntryId("entry-1");
    private static final Blob BODY = new Blob("", List.of(), 0);
    private static final Duration LIMIT = Duration.ofSeconds(2);

    private ManualTimeSource mTime;
    private SimProcess mProcess;
    private ClaimService mClaims;
    private JobService mJobs;
    private Optional<ClaimAnswer> mAnswer;

    @BeforeMethod
    public void createHeldJob() {
        mTime = new ManualTimeSource();
        mProcess = new SimProcess(new SimLog(mTime, new Random(1)));
        mClaims = startClaims();
        mJobs = startJobs();
        JobSpec spec =
                new JobSpec(TEAM, new PipelineId("p"), new RequestId(1, 1), Optional.empty(), 0);
        write(new JobRecord.Submitted(JOB, spec, BODY, 0));
        write(new JobRecord.LeaseAcquired(JOB, ENTRY, 1_000));
        long fence = mJobs.find(JOB).flatMap(Job::lease).orElseThrow().fence();
        write(new JobRecord.EffectStarted(JOB, fence, 0));
        String key = mJobs.find(JOB).orElseThrow().effectKey(0);
        ClaimRequest effect = new ClaimRequest(TEAM, key, 0, new RequestId(1, 1), 0);
        mClaims.claim(effect, new ClaimTarget(new UpstreamId("portal"), 1), LIMIT);
        mTime.advance(Duration.ofMillis(200));
        write(new JobRecord.Held(JOB, fence, 0, "test"));
    }

    @Test
    public void effectThatStillRunsIsNotRunAgain() {
        mAnswer = Optional.of(ClaimAnswer.of(ClaimAnswer.State.RUNNING));
        assertEquals(settle().getLeft().ran(), ExecutionStatus.UNKNOWN);
        assertEquals(status(), JobStatus.HELD);
    }

    @Test
    public void effectWhoseAgentCannotBeReachedIsNotRunAgain() {
        mAnswer = Optional.empty();
        assertEquals(settle().getLeft().ran(), ExecutionStatus.UNKNOWN);
    }

    @Test
    public void effectThatRanIsNotRunAgain() {
        mAnswer = Optional.of(ClaimAnswer.done(ClaimOutcome.of(200, "", new byte[0])));
        assertEquals(settle().getLeft().ran(), ExecutionStatus.YES);
        assertEquals(settle().getLeft().ran(), ExecutionStatus.YES);
    }

    @Test
    public void effectThatTheAgentRefusesFromNowOnRunsAgain() {
        mAnswer = Optional.of(ClaimAnswer.of(ClaimAnswer.State.NEVER_SEEN));
        assertEquals(settle().get().status(), JobStatus.WAITING);
    }

    private Either<Refusal, Job> settle() {
        CompletableFuture<Either<Refusal, Job>> settled =
                new JobSettlementService(mJobs, mClaims).settle(JOB, JobDecision.NOT_RUN, LIMIT);
        mTime.advance(Duration.ofMillis(200));
        assertTrue(settled.isDone());
        return settled.join();
    }

    private JobStatus status() {
        return mJobs.find(JOB).orElseThrow().status();
    }

    private void write(JobRecord record) {
        CompletableFuture<Either<Refusal, JobApplyResult>> result =
                mJobs.write(record, new byte[0], LIMIT);
        mTime.advance(Duration.ofMillis(200));
        assertFalse(result.join().isLeft());
        assertTrue(result.join().get().isApplied(), record.toString());
    }

    private ClaimService startClaims() {
        ClaimService service =
                ClaimService.builder()
                        .entry(ENTRY)
                        .settings(ClaimSettings.builder().partitions(1).build())
                        .sink(mProcess)
                        .source(mProcess)
                        .scheduler(mProcess)
                        .time(mTime)
                        .agents((t, r, f) -> CompletableFuture.completedFuture(mAnswer))
                        .build();
        mProcess.follow(
                "claims-0", 0, r -> service.apply(0, r.offset(), r.timeMillis(), r.id(), r.data()));
        return service;
    }

    private JobService startJobs() {
        JobService service =
                JobService.builder()
                        .entry(ENTRY)
                        .sink(mProcess)
                        .source(mProcess)
                        .scheduler(mProcess)
                        .time(mTime)
                        .build();
        mProcess.follow(
                JobSettings.STREAM,
                0,
                r -> service.apply(r.offset(), r.timeMillis(), r.id(), r.data()));
        return service;
    }
}
