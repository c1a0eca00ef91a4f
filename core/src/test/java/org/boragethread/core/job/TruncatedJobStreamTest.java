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

/** Tests that a fold of the records still kept equals the fold of all records. */
public class TruncatedJobStreamTest {

    private static final int SEEDS = 10;
    private static final int KEYS = 6;
    private static final Duration RETENTION = Duration.ofMinutes(8);
    private static final long KEPT = RETENTION.toMillis();
    private static final long RUN = 3 * KEPT;
    private static final JobSettings SETTINGS =
            JobSettings.builder()
                    .logRetention(RETENTION)
                    .lateLimit(Duration.ofSeconds(15))
                    .lease(Duration.ofSeconds(3))
                    .build();

    @Test
    public void processThatStartsLateKnowsTheSameUnfinishedJobs() {
        int compared = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            List<SimLog.Record> records = runJobs(seed);
            for (long end = 2 * KEPT; end <= RUN; end += KEPT / 32) {
                compared += compare(records, end, "seed " + seed + ", end " + end);
            }
        }
        assertTrue(compared > SEEDS * 10, "too few jobs compared: " + compared);
    }

    private static int compare(List<SimLog.Record> records, long end, String message) {
        List<SimLog.Record> all = records.stream().filter(r -> r.timeMillis() < end).toList();
        List<SimLog.Record> kept = all.stream().filter(r -> r.timeMillis() >= end - KEPT).toList();
        assertTrue(kept.get(0).offset() > 0, "the log must have lost records");
        Map<JobId, Job> whole = unfinished(all);
        assertEquals(unfinished(kept), whole, message);
        return whole.size();
    }

    private static Map<JobId, Job> unfinished(List<SimLog.Record> records) {
        JobStateMachine ledger = new JobStateMachine(SETTINGS);
        for (SimLog.Record record : records) {
            JobRecord header = JobTable.CODEC.decode(record.data()).orElseThrow().header();
            ledger.apply(record.offset(), record.timeMillis(), header);
        }
        Map<JobId, Job> jobs = new HashMap<>();
        ledger.jobs().stream()
                .filter(job -> !job.status().isFinal())
                .forEach(job -> jobs.put(job.id(), job));
        return jobs;
    }

    // Jobs wait for long between their runs, and the same keys come again and again.
    private static List<SimLog.Record> runJobs(long seed) {
        ManualTimeSource time = new ManualTimeSource();
        Random random = new Random(seed);
        SimLog log = new SimLog(time, random);
        log.setFaultProbability(0.1);
        List<JobService> entries = new ArrayList<>();
        entries.add(startEntry("entry-1", log, time, random));
        entries.add(startEntry("entry-2", log, time, random));
        while (time.millis() < RUN) {
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
        JobPipeline pipeline = (work, progress) -> new ShortRun(random);
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
