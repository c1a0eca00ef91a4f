package org.boragethread.core.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.boragethread.core.record.SimLog;
import org.boragethread.core.record.SimProcess;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.job.JobId;
import org.boragethread.model.job.JobResult;
import org.boragethread.model.outcome.RequestId;
import org.boragethread.model.pipeline.PipelineId;
import org.boragethread.model.place.EntryId;
import org.boragethread.model.team.TeamId;
import org.testng.annotations.Test;

/**
 * Tests that applying the records still retained by the log restores the same unfinished jobs as
 * applying all records.
 */
public class TruncatedJobStreamTest {

    private static final int SEEDS = 10;
    private static final int KEYS = 6;
    private static final Duration RETENTION = Duration.ofMinutes(8);
    private static final long RETENTION_MILLIS = RETENTION.toMillis();
    private static final long RUN_MILLIS = 3 * RETENTION_MILLIS;
    private static final JobSettings SETTINGS =
            JobSettings.builder()
                    .logRetention(RETENTION)
                    .lateLimit(Duration.ofSeconds(15))
                    .lease(Duration.ofSeconds(3))
                    .build();

    @Test
    public void truncatedStreamRestoresTheSameUnfinishedJobs() {
        int compared = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            List<SimLog.Record> records = runJobs(seed);
            for (long end = 2 * RETENTION_MILLIS; end <= RUN_MILLIS; end += RETENTION_MILLIS / 32) {
                compared += compare(records, end, "seed " + seed + ", end " + end);
            }
        }
        assertTrue(compared > SEEDS * 10, "too few jobs compared: " + compared);
    }

    private static int compare(List<SimLog.Record> records, long end, String message) {
        List<SimLog.Record> all = records.stream().filter(r -> r.timeMillis() < end).toList();
        List<SimLog.Record> retained =
                all.stream().filter(r -> r.timeMillis() >= end - RETENTION_MILLIS).toList();
        assertTrue(retained.get(0).offset() > 0, "some records must have expired");
        Map<JobId, Job> complete = unfinished(all);
        assertEquals(unfinished(retained), complete, message);
        return complete.size();
    }

    private static Map<JobId, Job> unfinished(List<SimLog.Record> records) {
        JobStateMachine stateMachine = new JobStateMachine(SETTINGS);
        for (SimLog.Record record : records) {
            JobRecord header = JobTable.CODEC.decode(record.data()).orElseThrow().header();
            stateMachine.apply(record.offset(), record.timeMillis(), header);
        }
        Map<JobId, Job> jobs = new HashMap<>();
        stateMachine.jobs().stream()
                .filter(job -> !job.status().isFinal())
                .forEach(job -> jobs.put(job.id(), job));
        return jobs;
    }

    // Jobs wait long between their runs, and the same keys are submitted repeatedly.
    private static List<SimLog.Record> runJobs(long seed) {
        ManualTimeSource time = new ManualTimeSource();
        Random random = new Random(seed);
        SimLog log = new SimLog(time, random);
        log.setFaultProbability(0.1);
        List<JobService> entries = new ArrayList<>();
        entries.add(startEntry("entry-1", log, time, random));
        entries.add(startEntry("entry-2", log, time, random));
        while (time.millis() < RUN_MILLIS) {
            JobService entry = entries.get(random.nextInt(2));
            entry.submit(submission(random.nextInt(KEYS)), Duration.ofSeconds(2));
            time.advance(Duration.ofMillis(random.nextInt(6_000)));
        }
        return log.records(JobSettings.STREAM);
    }

    private static JobSubmission submission(int key) {
        return new JobSubmission(
                new TeamId("archive"),
                new PipelineId("draft"),
                new RequestId(1, key),
                Optional.of("key-" + key),
                "text/plain",
                new byte[] {(byte) key});
    }

    private static JobService startEntry(
            String name, SimLog log, ManualTimeSource time, Random random) {
        SimProcess process = new SimProcess(log);
        int[] ids = {0};
        JobService service =
                JobService.builder()
                        .entry(new EntryId(name))
                        .settings(SETTINGS)
                        .sink(process)
                        .source(process)
                        .scheduler(process)
                        .time(time)
                        .recordIds(() -> name + "-" + ids[0]++)
                        .build();
        process.follow(
                JobSettings.STREAM,
                0,
                r -> service.apply(r.offset(), r.timeMillis(), r.id(), r.data()));
        Set<EntryId> live = Set.of(new EntryId("entry-1"), new EntryId("entry-2"));
        JobPipeline pipeline = (assignment, progress) -> new ShortRun(random);
        new JobRunner(service, pipeline, process, time, () -> live).start();
        new JobCheckpointer(service, process, () -> live).start();
        return service;
    }

    private record ShortRun(CompletableFuture<JobRunOutcome> outcome) implements JobPipeline.Run {

        ShortRun(Random random) {
            this(CompletableFuture.completedFuture(draw(random)));
        }

        private static JobRunOutcome draw(Random random) {
            if (random.nextInt(8) == 0) {
                return new JobRunOutcome.Completed(new JobResult(200, "text/plain", new byte[3]));
            }
            return new JobRunOutcome.Retry(Duration.ofSeconds(random.nextInt(150)), false, "busy");
        }

        @Override
        public void cancel() {}
    }
}
