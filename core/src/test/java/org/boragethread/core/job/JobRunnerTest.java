package org.boragethread.core.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.boragethread.core.record.SimLog;
import org.boragethread.core.record.SimProcess;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.job.JobId;
import org.boragethread.model.job.JobResult;
import org.boragethread.model.job.JobStatus;
import org.boragethread.model.outcome.ExecutionStatus;
import org.boragethread.model.outcome.RequestId;
import org.boragethread.model.pipeline.PipelineId;
import org.boragethread.model.place.EntryId;
import org.boragethread.model.team.TeamId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link JobRunner} and {@link JobService}. */
public class JobRunnerTest {

    private static final JobSettings SETTINGS =
            JobSettings.builder().effectMaxAge(Duration.ofMinutes(1)).maxRunning(2).build();
    private static final TeamId TEAM = new TeamId("archive");

    private ManualTimeSource mTime;
    private SimLog mLog;
    private List<ControlledRun> mRuns;
    private SimProcess mProcess;
    private JobService mService;
    private JobRunner mRunner;
    private int mIds;

    @BeforeMethod
    public void startEntry() {
        mTime = new ManualTimeSource();
        mLog = new SimLog(mTime, new Random(1));
        mRuns = new ArrayList<>();
        mProcess = new SimProcess(mLog);
        mService = startService("entry-1", mProcess);
        mRunner = startRunner(mService, mProcess);
    }

    @Test
    public void resultOfAnySizeIsReadBackWhole() {
        JobId id = submit("a");
        byte[] body = new byte[JobSettings.MAX_PAYLOAD_BYTES * 3 + 1];
        new Random(1).nextBytes(body);
        mRuns.get(0)
                .mEnd
                .complete(new JobRunOutcome.Completed(new JobResult(200, "text/plain", body)));
        advanceSeconds(1);
        assertEquals(mService.result(id).join().get().body(), body);
        assertEquals(status(id), JobStatus.FINISHED);
    }

    @Test
    public void sameKeyFindsTheSameJob() {
        assertEquals(submit("a"), submit("a"));
        assertEquals(mService.list(TEAM, 10).size(), 1);
    }

    @Test
    public void runnerObeysItsConcurrencyLimit() {
        submit("a");
        submit("b");
        submit("c");
        assertEquals(mRunner.running(), 2);
        mRuns.get(0).finish();
        advanceSeconds(1);
        assertEquals(mRuns.size(), 3);
    }

    @Test
    public void leaseIsRenewedDuringTheRun() {
        JobId id = submit("a");
        advanceSeconds(600);
        assertEquals(mRuns.size(), 1);
        assertFalse(mRuns.get(0).mIsCancelled);
        assertEquals(status(id), JobStatus.RUNNING);
    }

    @Test
    public void cancelledJobStopsItsRun() {
        JobId id = submit("a");
        mService.cancel(id, Duration.ofSeconds(1));
        advanceSeconds(1);
        assertTrue(mRuns.get(0).mIsCancelled);
        assertEquals(status(id), JobStatus.CANCELLED);
    }

    @Test
    public void unconfirmedCancellationIsReportedAsUnknown() {
        JobId id = submit("a");
        mLog.setUnavailable(true);
        var answer = mService.cancel(id, Duration.ofSeconds(1));
        advanceSeconds(2);
        assertEquals(answer.join().getLeft().ran(), ExecutionStatus.UNKNOWN);
    }

    @Test
    public void runStopsWhenItsLeaseCannotBeRenewed() {
        submit("a");
        mLog.setUnavailable(true);
        advanceSeconds(SETTINGS.lease().toSeconds() + 1);
        assertTrue(mRuns.get(0).mIsCancelled);
        assertEquals(mRunner.running(), 0);
    }

    @Test
    public void anotherEntryTakesOverAndThePausedEntrysResultIsIgnored() {
        JobId id = submit("a");
        SimProcess process = new SimProcess(mLog);
        startRunner(startService("entry-2", process), process);
        mProcess.pause();
        advanceSeconds(SETTINGS.lease().toSeconds() + 2);
        assertEquals(mRuns.size(), 2);
        mRuns.get(0).finish();
        mProcess.resume();
        advanceSeconds(1);
        assertEquals(status(id), JobStatus.RUNNING);
        mRuns.get(1).finish();
        advanceSeconds(1);
        assertEquals(status(id), JobStatus.FINISHED);
    }

    @Test
    public void jobWithAnExpiredEffectClaimIsHeld() {
        JobId id = submit("a");
        mRuns.get(0).mProgress.effectStarting(0);
        advanceSeconds(1);
        mRuns.get(0).mEnd.complete(new JobRunOutcome.Retry(Duration.ofMinutes(2), false, "busy"));
        advanceSeconds(130);
        assertEquals(status(id), JobStatus.HELD);
        assertEquals(mRuns.size(), 1);
    }

    @Test
    public void jobIsRetriedAfterAnExceptionInThePipeline() {
        submit("a");
        mRuns.get(0).mEnd.completeExceptionally(new IllegalStateException("test"));
        advanceSeconds(10);
        assertEquals(mRuns.size(), 2);
    }

    @Test
    public void stoppedRunnerAcquiresNoJobs() {
        mRunner.stop();
        JobId id = submit("a");
        advanceSeconds(60);
        assertEquals(status(id), JobStatus.WAITING);
    }

    @Test
    public void releasedJobBecomesAvailable() {
        JobId id = submit("a");
        mRunner.releaseAll();
        advanceSeconds(1);
        assertTrue(mRuns.get(0).mIsCancelled);
        assertEquals(mRunner.running(), 0);
        assertEquals(status(id), JobStatus.WAITING);
    }

    @Test
    public void submissionIsRefusedWhileTheLogIsUnavailable() {
        mLog.setUnavailable(true);
        CompletableFuture<Boolean> refused =
                mService.submit(submission("a"), Duration.ofSeconds(2))
                        .thenApply(result -> result.isLeft());
        advanceSeconds(3);
        assertTrue(refused.join());
    }

    private JobId submit(String key) {
        CompletableFuture<JobId> id =
                mService.submit(submission(key), Duration.ofSeconds(2))
                        .thenApply(job -> job.get().id());
        advanceSeconds(1);
        return id.join();
    }

    private static JobSubmission submission(String key) {
        return new JobSubmission(
                TEAM,
                new PipelineId("draft"),
                new RequestId(1, 1),
                Optional.of(key),
                "text/plain",
                new byte[] {1});
    }

    private JobStatus status(JobId id) {
        return mService.find(id).orElseThrow().status();
    }

    private void advanceSeconds(long seconds) {
        mTime.advance(Duration.ofSeconds(seconds));
    }

    private JobRunner startRunner(JobService service, SimProcess process) {
        JobRunner runner =
                new JobRunner(
                        service,
                        this::startControlledRun,
                        process,
                        mTime,
                        () -> Set.of(service.entry()));
        runner.start();
        return runner;
    }

    private JobPipeline.Run startControlledRun(JobAssignment assignment, JobProgress progress) {
        ControlledRun run = new ControlledRun(progress);
        mRuns.add(run);
        return run;
    }

    private JobService startService(String name, SimProcess process) {
        JobService service =
                JobService.builder()
                        .entry(new EntryId(name))
                        .settings(SETTINGS)
                        .sink(process)
                        .source(process)
                        .scheduler(process)
                        .time(mTime)
                        .recordIds(() -> name + "-" + mIds++)
                        .build();
        process.follow(
                JobSettings.STREAM,
                0,
                r -> service.apply(r.offset(), r.timeMillis(), r.id(), r.data()));
        return service;
    }

    private static final class ControlledRun implements JobPipeline.Run {

        private final JobProgress mProgress;
        private final CompletableFuture<JobRunOutcome> mEnd = new CompletableFuture<>();
        private boolean mIsCancelled;

        ControlledRun(JobProgress progress) {
            mProgress = progress;
        }

        void finish() {
            JobResult result = new JobResult(200, "text/plain", new byte[0]);
            mEnd.complete(new JobRunOutcome.Completed(result));
        }

        @Override
        public CompletableFuture<JobRunOutcome> outcome() {
            return mEnd;
        }

        @Override
        public void cancel() {
            mIsCancelled = true;
        }
    }
}
