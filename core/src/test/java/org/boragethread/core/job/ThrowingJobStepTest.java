package org.boragethread.core.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.boragethread.core.record.RecordSink;
import org.boragethread.core.record.SimLog;
import org.boragethread.core.record.SimProcess;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.job.JobId;
import org.boragethread.model.job.JobResult;
import org.boragethread.model.job.JobStatus;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RequestId;
import org.boragethread.model.pipeline.PipelineId;
import org.boragethread.model.place.EntryId;
import org.boragethread.model.team.TeamId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests jobs of which a step throws. */
public class ThrowingJobStepTest {

    private static final Duration RETENTION = Duration.ofMinutes(10);
    private static final JobSettings SETTINGS =
            JobSettings.builder()
                    .logRetention(RETENTION)
                    .lateLimit(Duration.ofSeconds(10))
                    .maxRunning(2)
                    .build();

    private ManualTimeSource mTime;
    private SimLog mLog;
    private SimProcess mProcess;
    private JobService mService;
    private List<CompletableFuture<JobRunOutcome>> mRuns;
    private boolean mThrows;
    private boolean mReadThrows;
    private int mIds;

    @BeforeMethod
    public void startEntry() {
        mTime = new ManualTimeSource();
        mLog = new SimLog(mTime, new Random(1));
        mProcess = new SimProcess(mLog);
        mRuns = new ArrayList<>();
        mThrows = false;
        mReadThrows = false;
        mIds = 0;
        RecordSink sink = this::append;
        mService =
                JobService.builder()
                        .entry(new EntryId("entry-1"))
                        .settings(SETTINGS)
                        .sink(sink)
                        .source(this::read)
                        .scheduler(mProcess)
                        .time(mTime)
                        .recordIds(() -> "entry-1-" + mIds++)
                        .build();
        mProcess.follow(
                JobSettings.STREAM,
                0,
                r -> mService.apply(r.offset(), r.timeMillis(), r.id(), r.data()));
    }

    private CompletableFuture<Either<Refusal, Long>> append(
            String stream, String id, byte[] data, Duration timeout) {
        if (mThrows) {
            throw new IllegalStateException("append");
        }
        return mProcess.append(stream, id, data, timeout);
    }

    private CompletableFuture<Optional<byte[]>> read(String stream, long offset) {
        if (mReadThrows) {
            throw new IllegalStateException("read");
        }
        return mProcess.read(stream, offset);
    }

    private void startRunner() {
        new JobRunner(
                        mService,
                        (assignment, progress) -> startRun(),
                        mProcess,
                        mTime,
                        () -> Set.of(mService.entry()))
                .start();
    }

    private JobPipeline.Run startRun() {
        CompletableFuture<JobRunOutcome> outcome = new CompletableFuture<>();
        mRuns.add(outcome);
        return new JobPipeline.Run() {
            @Override
            public CompletableFuture<JobRunOutcome> outcome() {
                return outcome;
            }

            @Override
            public void cancel() {}
        };
    }

    private JobId submit(String key) {
        JobSubmission submission =
                new JobSubmission(
                        new TeamId("archive"),
                        new PipelineId("draft"),
                        new RequestId(1, 1),
                        Optional.of(key),
                        "text/plain",
                        new byte[] {1});
        CompletableFuture<JobId> id =
                mService.submit(submission, Duration.ofSeconds(2)).thenApply(job -> job.get().id());
        run(Duration.ofSeconds(1));
        return id.join();
    }

    private void run(Duration duration) {
        // A failure that nobody handles must not end the simulated timers.
        for (long millis = 0; millis < duration.toMillis(); millis += 100) {
            try {
                mTime.advance(Duration.ofMillis(100));
            } catch (IllegalStateException ignored) {
                // Its consequences are checked.
            }
        }
    }

    // Guards against an entry that runs no jobs any more because some could not be acquired.
    @Test
    public void jobsAreRunAfterTheirAcquisitionThrew() {
        submit("a");
        submit("b");
        startRunner();
        mThrows = true;
        run(Duration.ofSeconds(10));
        mThrows = false;
        run(Duration.ofSeconds(10));
        assertEquals(mRuns.size(), 2);
    }

    // Guards against a job whose lease is renewed for ever without a run.
    @Test
    public void jobWhoseOutcomeCouldNotBeRecordedRunsAgain() {
        startRunner();
        JobId id = submit("a");
        run(Duration.ofSeconds(5));
        JobResult result = new JobResult(200, "text/plain", new byte[0]);
        mThrows = true;
        mRuns.get(0).complete(new JobRunOutcome.Completed(result));
        mThrows = false;
        run(SETTINGS.lease().multipliedBy(3));
        assertEquals(mRuns.size(), 2);
        mRuns.get(1).complete(new JobRunOutcome.Completed(result));
        run(Duration.ofSeconds(5));
        assertEquals(mService.find(id).orElseThrow().status(), JobStatus.FINISHED);
    }

    // Guards against a job whose lease is renewed for ever since its run could not start.
    @Test
    public void jobWhoseInputCouldNotBeReadRunsAgain() {
        startRunner();
        mReadThrows = true;
        submit("a");
        run(Duration.ofSeconds(5));
        mReadThrows = false;
        run(SETTINGS.lease().multipliedBy(3));
        assertEquals(mRuns.size(), 1);
    }

    // Guards against jobs that expire in the log because some checkpoints threw.
    @Test
    public void checkpointsAreWrittenAfterSomeThrew() {
        for (int i = 0; i < 6; i++) {
            submit("job-" + i);
        }
        new JobCheckpointer(mService, mProcess, () -> Set.of(mService.entry())).start();
        mThrows = true;
        run(RETENTION);
        mThrows = false;
        int before = mLog.records(JobSettings.STREAM).size();
        run(RETENTION);
        int written = mLog.records(JobSettings.STREAM).size() - before;
        assertTrue(written >= 12, "records: " + written);
    }
}
