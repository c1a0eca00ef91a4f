package org.boragethread.core.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.boragethread.core.record.SimLog;
import org.boragethread.core.record.SimProcess;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.job.JobStatus;
import org.boragethread.model.outcome.RequestId;
import org.boragethread.model.pipeline.PipelineId;
import org.boragethread.model.place.EntryId;
import org.boragethread.model.team.TeamId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that unfinished jobs survive the expiry of their records in the log. */
public class JobCheckpointerTest {

    private static final Duration RETENTION = Duration.ofMinutes(10);
    private static final TeamId TEAM = new TeamId("archive");
    private static final byte[] BODY = new byte[JobSettings.MAX_PAYLOAD_BYTES * 2 + 7];
    private static final JobSettings SETTINGS =
            JobSettings.builder().logRetention(RETENTION).lateLimit(Duration.ofSeconds(10)).build();

    private ManualTimeSource mTime;
    private SimLog mLog;
    private Set<EntryId> mEntries;
    private int mIds;

    @BeforeMethod
    public void createLog() {
        mTime = new ManualTimeSource();
        mLog = new SimLog(mTime, new Random(1));
        mEntries = new HashSet<>();
        mIds = 0;
        new Random(2).nextBytes(BODY);
    }

    @Test
    public void unfinishedJobIsRestoredAfterItsSubmissionExpired() {
        JobService first = startEntry("entry-1", 0);
        startEntry("entry-2", 0);
        CompletableFuture<Job> job = submit(first);
        advanceAndExpireRecords(RETENTION.multipliedBy(3));
        JobService newEntry = startEntry("entry-3", mLog.firstOffset(JobSettings.STREAM));
        mTime.advance(Duration.ofSeconds(1));
        assertTrue(mLog.firstOffset(JobSettings.STREAM) > 0);
        Job found = newEntry.find(job.join().id()).orElseThrow();
        assertEquals(found, first.find(found.id()).orElseThrow());
        assertEquals(newEntry.blobs().read(found.input()).join().orElseThrow(), BODY);
    }

    @Test
    public void endedJobIsNotCheckpointed() {
        JobService first = startEntry("entry-1", 0);
        CompletableFuture<Job> job = submit(first);
        first.cancel(job.join().id(), Duration.ofSeconds(1));
        mTime.advance(Duration.ofSeconds(1));
        assertEquals(first.find(job.join().id()).orElseThrow().status(), JobStatus.CANCELLED);
        int records = mLog.records(JobSettings.STREAM).size();
        mTime.advance(RETENTION);
        assertEquals(mLog.records(JobSettings.STREAM).size(), records);
    }

    @Test
    public void jobIsLostWithoutCheckpoints() {
        JobService only = startEntryWithoutCheckpoints("entry-1", 0);
        CompletableFuture<Job> job = submit(only);
        advanceAndExpireRecords(RETENTION.multipliedBy(2));
        assertEquals(only.blobs().read(job.join().input()).join(), Optional.empty());
    }

    private CompletableFuture<Job> submit(JobService service) {
        JobSubmission submission =
                new JobSubmission(
                        TEAM,
                        new PipelineId("draft"),
                        new RequestId(1, 1),
                        Optional.empty(),
                        "text/plain",
                        BODY);
        CompletableFuture<Job> job =
                service.submit(submission, Duration.ofSeconds(2)).thenApply(j -> j.get());
        assertFalse(job.isDone(), "a job must not be accepted before its record is read back");
        mTime.advance(Duration.ofSeconds(1));
        return job;
    }

    private void advanceAndExpireRecords(Duration duration) {
        long end = mTime.millis() + duration.toMillis();
        while (mTime.millis() < end) {
            mTime.advance(RETENTION.dividedBy(100));
            long retainedFrom = mTime.millis() - RETENTION.toMillis();
            List<SimLog.Record> records = mLog.records(JobSettings.STREAM);
            long expired = records.stream().filter(r -> r.timeMillis() < retainedFrom).count();
            mLog.expireBefore(JobSettings.STREAM, expired);
        }
    }

    private JobService startEntry(String name, long from) {
        SimProcess process = new SimProcess(mLog);
        JobService service = startService(name, from, process);
        new JobCheckpointer(service, process, () -> mEntries).start();
        return service;
    }

    private JobService startEntryWithoutCheckpoints(String name, long from) {
        return startService(name, from, new SimProcess(mLog));
    }

    private JobService startService(String name, long from, SimProcess process) {
        EntryId entry = new EntryId(name);
        mEntries.add(entry);
        JobService service =
                JobService.builder()
                        .entry(entry)
                        .settings(SETTINGS)
                        .sink(process)
                        .source(process)
                        .scheduler(process)
                        .time(mTime)
                        .recordIds(() -> name + "-" + mIds++)
                        .build();
        process.follow(
                JobSettings.STREAM,
                from,
                r -> service.apply(r.offset(), r.timeMillis(), r.id(), r.data()));
        return service;
    }
}
