package org.boragethread.core.job;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.boragethread.core.claim.ClaimRequest;
import org.boragethread.core.claim.ClaimSimulation;
import org.boragethread.core.claim.SimEntry;
import org.boragethread.core.record.SimLog;
import org.boragethread.core.record.SimProcess;
import org.boragethread.model.job.JobDecision;
import org.boragethread.model.job.JobId;
import org.boragethread.model.job.JobResult;
import org.boragethread.model.job.JobStatus;
import org.boragethread.model.outcome.ExecutionStatus;
import org.boragethread.model.outcome.RequestId;
import org.boragethread.model.pipeline.PipelineId;
import org.boragethread.model.place.EntryId;
import org.boragethread.model.team.TeamId;

/** Simulates entries that run two-stage jobs, the second with an effect, under seeded faults. */
final class JobSimulation implements ClaimSimulation.Workload {

    private static final Duration MAX_EFFECT_AGE = Duration.ofSeconds(6);
    private static final TeamId TEAM = new TeamId("archive");
    private static final int MAX_JOBS = 20;
    private static final int STEPS_PER_JOB = 4;

    private final JobPolicy mPolicy;
    private final JobSettings mSettings =
            JobSettings.builder().lease(Duration.ofSeconds(2)).maxRunning(3).build();
    private final Map<EntryId, JobService> mServices = new HashMap<>();
    private final Set<JobId> mAccepted = new LinkedHashSet<>();
    private final Set<String> mViolations = new HashSet<>();
    private final JobStateMachine mObserver;
    private final ClaimSimulation mSimulation;
    private int mSubmitted;
    private int mSteps;

    JobSimulation(long seed, JobPolicy policy) {
        mPolicy = policy;
        mObserver = new JobStateMachine(mSettings, policy);
        mSimulation = new ClaimSimulation(seed, this);
    }

    @Override
    public void onStart(ClaimSimulation simulation, SimEntry entry) {
        SimProcess process = entry.process();
        JobService service =
                JobService.builder()
                        .entry(entry.id())
                        .settings(mSettings)
                        .table(
                                new JobTable(
                                        new JobStateMachine(mSettings, mPolicy), simulation.time()))
                        .sink(process)
                        .source(process)
                        .scheduler(process)
                        .time(simulation.time())
                        .recordIds(() -> "job-record-" + simulation.nextId())
                        .build();
        mServices.put(entry.id(), service);
        process.follow(JobSettings.STREAM, 0, record -> read(service, record));
        JobRunner runner =
                new JobRunner(
                        service,
                        (assignment, progress) ->
                                new TwoStageRun(entry, assignment, progress).begin(),
                        process,
                        simulation.time(),
                        () ->
                                simulation.entries().stream()
                                        .map(SimEntry::id)
                                        .collect(Collectors.toSet()));
        runner.start();
    }

    private void read(JobService service, SimLog.Record record) {
        observe(record);
        service.apply(record.offset(), record.timeMillis(), record.id(), record.data());
    }

    // Checks each record only once, when an entry reads it first.
    private void observe(SimLog.Record record) {
        if (record.offset() != mObserver.nextOffset()) {
            return;
        }
        JobRecord header = JobTable.CODEC.decode(record.data()).orElseThrow().header();
        Optional<Job> before = mObserver.find(header.job());
        JobApplyResult result = mObserver.apply(record.offset(), record.timeMillis(), header);
        if (result.isApplied() && header instanceof JobRecord.Finished finished) {
            long fence = before.flatMap(Job::lease).map(Lease::fence).orElse(-1L);
            if (fence != finished.fence()) {
                mViolations.add("a superseded lease finished job " + header.job());
            }
        }
    }

    @Override
    public void onStep(SimEntry entry) {
        mSteps++;
        if (mSubmitted >= MAX_JOBS || mSteps % STEPS_PER_JOB != 0) {
            return;
        }
        int number = mSubmitted++;
        JobSubmission submission =
                new JobSubmission(
                        TEAM,
                        new PipelineId("publish"),
                        new RequestId(2, number),
                        Optional.of("series-" + number),
                        "text/plain",
                        ("scan " + number).getBytes());
        JobService service = mServices.get(entry.id());
        entry.process().post(() -> submit(service, submission));
    }

    private void submit(JobService service, JobSubmission submission) {
        service.submit(submission, Duration.ofSeconds(2))
                .thenAccept(job -> job.forEach(j -> mAccepted.add(j.id())));
    }

    void run(int steps) {
        mSimulation.runFaults(steps);
        mSimulation.endFaults();
        for (int i = 0; i < 10 && !allEnded(); i++) {
            settleHeldJobs();
            mSimulation.time().advance(Duration.ofSeconds(10));
        }
    }

    private boolean allEnded() {
        return mObserver.unfinished() == mObserver.count(JobStatus.SUBMITTED);
    }

    private void settleHeldJobs() {
        JobService service = mServices.get(mSimulation.entries().get(0).id());
        for (Job job : mObserver.jobs()) {
            if (job.status() == JobStatus.HELD) {
                boolean ran = effects(job.id()) > 0;
                JobDecision decision = ran ? JobDecision.RAN : JobDecision.NOT_RUN;
                service.settle(job.id(), decision, Duration.ofSeconds(1));
            }
        }
    }

    private int effects(JobId id) {
        return mSimulation.countEffects("job/" + id + "/");
    }

    /** Returns a description of the first violation, or an empty string. */
    String violation() {
        for (String violation : mViolations) {
            return violation;
        }
        for (Job job : mObserver.jobs()) {
            // A submission whose entry crashed before confirming it is not accepted and never runs.
            int expected = job.status() == JobStatus.SUBMITTED ? 0 : 1;
            if (effects(job.id()) != expected) {
                return "job %s ran %d times".formatted(job.id(), effects(job.id()));
            }
        }
        for (JobId id : mAccepted) {
            if (mObserver.find(id).filter(j -> j.status() == JobStatus.FINISHED).isEmpty()) {
                return "accepted job %s is not finished".formatted(id);
            }
        }
        return "";
    }

    int accepted() {
        return mAccepted.size();
    }

    private final class TwoStageRun implements JobPipeline.Run {

        private final SimEntry mEntry;
        private final JobAssignment mAssignment;
        private final JobProgress mProgress;
        private final CompletableFuture<JobRunOutcome> mEnd = new CompletableFuture<>();
        private boolean mIsCancelled;

        TwoStageRun(SimEntry entry, JobAssignment assignment, JobProgress progress) {
            mEntry = entry;
            mAssignment = assignment;
            mProgress = progress;
        }

        TwoStageRun begin() {
            Runnable first = mAssignment.firstStage() == 0 ? this::finishDraft : this::publish;
            mEntry.process().schedule(Duration.ofMillis(100), first);
            return this;
        }

        private void finishDraft() {
            mProgress
                    .stageDone(0, "text/plain", mAssignment.input())
                    .thenAccept(isRecorded -> publish());
        }

        private void publish() {
            if (!mIsCancelled) {
                mProgress.effectStarting(1).thenAccept(this::onEffectStarting);
            }
        }

        private void onEffectStarting(boolean mayStart) {
            if (!mayStart) {
                retry();
                return;
            }
            Job job = mAssignment.job();
            ClaimRequest effect =
                    new ClaimRequest(TEAM, mAssignment.effectKey(1), 0, job.spec().request(), 1);
            mEntry.call(effect, this::onAnswer);
        }

        private void onAnswer(SimEntry.Answer answer) {
            if (answer.outcome().isPresent()) {
                byte[] body = answer.outcome().get().body().orElseThrow();
                mEnd.complete(new JobRunOutcome.Completed(new JobResult(200, "text/plain", body)));
            } else if (answer.ran() == ExecutionStatus.UNKNOWN && isOld()) {
                mEnd.complete(
                        new JobRunOutcome.EffectUnknown(
                                1, "the outcome of the publication is unknown"));
            } else {
                retry();
            }
        }

        private boolean isOld() {
            long now = mSimulation.time().millis();
            return mAssignment
                    .job()
                    .effect()
                    .filter(e -> now - e.timeMillis() > MAX_EFFECT_AGE.toMillis())
                    .isPresent();
        }

        private void retry() {
            mEnd.complete(new JobRunOutcome.Retry(Duration.ofMillis(500), false, "retry"));
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
