package org.boragethread.core.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.boragethread.core.claim.KeyHash;
import org.boragethread.model.job.JobDecision;
import org.boragethread.model.job.JobId;
import org.boragethread.model.job.JobStatus;
import org.boragethread.model.outcome.RequestId;
import org.boragethread.model.pipeline.PipelineId;
import org.boragethread.model.place.EntryId;
import org.boragethread.model.team.TeamId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link JobStateMachine}. */
public class JobStateMachineTest {

    private static final JobId JOB = new JobId("job-1");
    private static final TeamId TEAM = new TeamId("archive");
    private static final EntryId ENTRY = new EntryId("entry-1");
    private static final Blob RESULT = new Blob("text/plain", List.of(), 3);
    private static final long LEASE = 1_000;
    private static final long RETENTION = Duration.ofHours(24).toMillis();

    private JobStateMachine mStateMachine;
    private long mOffset;

    @BeforeMethod
    public void createStateMachine() {
        mStateMachine = new JobStateMachine(JobSettings.builder().build());
        mOffset = 0;
    }

    @Test
    public void leasedJobIsAvailableOnlyAfterItsLeaseExpires() {
        accept(0, JOB, 1);
        assertTrue(acquire(1).isApplied());
        assertFalse(acquire(LEASE).isApplied());
        assertTrue(acquire(1 + LEASE).isApplied());
    }

    @Test
    public void renewedLeaseLastsFromItsRenewal() {
        accept(0, JOB, 1);
        long fence = acquireAndReturnFence(0);
        apply(600, new JobRecord.LeaseRenewed(JOB, fence, LEASE));
        assertFalse(acquire(1_200).isApplied());
        assertTrue(acquire(1_600).isApplied());
    }

    @Test
    public void recordsUnderASupersededLeaseAreIgnored() {
        accept(0, JOB, 1);
        long old = acquireAndReturnFence(0);
        acquireAndReturnFence(LEASE);
        assertFalse(finish(LEASE + 1, old).isApplied());
        assertFalse(apply(LEASE + 1, new JobRecord.LeaseRenewed(JOB, old, LEASE)).isApplied());
        assertFalse(apply(LEASE + 1, new JobRecord.Held(JOB, old, 0, "")).isApplied());
        assertEquals(job().status(), JobStatus.RUNNING);
    }

    @Test
    public void firstTerminalRecordWins() {
        accept(0, JOB, 1);
        long fence = acquireAndReturnFence(0);
        assertTrue(finish(1, fence).isApplied());
        assertFalse(apply(2, new JobRecord.Cancelled(JOB)).isApplied());
        assertEquals(job().status(), JobStatus.FINISHED);
    }

    @Test
    public void nextHolderStartsAfterTheLastFinishedStage() {
        accept(0, JOB, 1);
        long fence = acquireAndReturnFence(0);
        apply(1, new JobRecord.StageDone(JOB, fence, 0, RESULT));
        apply(2, new JobRecord.StageDone(JOB, fence, 0, RESULT));
        acquire(1 + LEASE);
        assertEquals(job().stagesDone(), 1);
        assertEquals(job().input().parts(), List.of(3L));
    }

    @Test
    public void heldJobIsSettledOnlyOnce() {
        accept(0, JOB, 1);
        long fence = acquireAndReturnFence(0);
        apply(1, new JobRecord.EffectStarted(JOB, fence, 0));
        apply(2, new JobRecord.Held(JOB, fence, 0, "agent restarted"));
        assertFalse(acquire(LEASE * 10).isApplied());
        assertTrue(apply(3, new JobRecord.Settled(JOB, 0, JobDecision.NOT_RUN)).isApplied());
        assertFalse(apply(4, new JobRecord.Settled(JOB, 0, JobDecision.RAN)).isApplied());
        assertEquals(job().round(), 1);
        assertEquals(job().status(), JobStatus.WAITING);
        assertEquals(job().effect(), Optional.empty());
    }

    @Test
    public void sameKeyFindsTheFirstJobAndAnotherBodyIsRefused() {
        accept(0, JOB, 1);
        assertEquals(accept(1, new JobId("job-2"), 1).kind(), JobApplyResult.Kind.EXISTS);
        assertEquals(accept(1, new JobId("job-3"), 2).kind(), JobApplyResult.Kind.KEY_REUSED);
        assertEquals(mStateMachine.unfinished(), 1);
    }

    @Test
    public void unconfirmedSubmissionDoesNotRunAndIsForgotten() {
        submit(0, JOB, 1);
        assertFalse(acquire(1).isApplied());
        long late = Duration.ofMinutes(10).toMillis() + 1;
        assertFalse(apply(late, new JobRecord.Confirmed(JOB)).isApplied());
        assertTrue(submit(late, new JobId("job-2"), 2).isApplied());
    }

    @Test
    public void truncatedStreamAcceptsAKeyOnlyAfterAnotherEntryConfirmsIt() {
        mStateMachine.restart(5);
        mOffset = 5;
        mStateMachine.skip(mOffset++, 0);
        long time = Duration.ofMinutes(11).toMillis();
        assertFalse(submit(time, JOB, 1).isApplied());
        assertTrue(apply(time, new JobRecord.Confirmed(JOB)).isApplied());
        assertEquals(job().status(), JobStatus.WAITING);
    }

    @Test
    public void endedJobIsForgottenAfterItsRetention() {
        accept(0, JOB, 1);
        finish(1, acquireAndReturnFence(0));
        mStateMachine.skip(mOffset++, RETENTION / 4);
        assertTrue(mStateMachine.find(JOB).isPresent());
        mStateMachine.skip(mOffset++, RETENTION / 4 + 1);
        assertEquals(mStateMachine.find(JOB), Optional.empty());
    }

    @Test
    public void lateSubmissionIsIgnored() {
        mStateMachine.skip(mOffset++, 0);
        JobRecord late = new JobRecord.Submitted(JOB, spec(1), RESULT, 0);
        assertFalse(apply(Duration.ofMinutes(11).toMillis(), late).isApplied());
    }

    @Test
    public void outdatedCheckpointIsIgnored() {
        accept(0, JOB, 1);
        Job before = job();
        finish(2, acquireAndReturnFence(1));
        assertFalse(apply(3, new JobRecord.Checkpoint(JOB, 1, 0, before)).isApplied());
        assertEquals(job().status(), JobStatus.FINISHED);
    }

    @Test
    public void truncatedStreamRestoresJobsOnlyFromCheckpoints() {
        accept(0, JOB, 1);
        Job job = job();
        mStateMachine.restart(5);
        mOffset = 5;
        mStateMachine.skip(mOffset++, 0);
        assertFalse(accept(1, new JobId("job-2"), 7).isApplied());
        long time = Duration.ofMinutes(11).toMillis();
        assertTrue(apply(time, new JobRecord.Checkpoint(JOB, 5, time, job)).isApplied());
        assertEquals(job(), job);
    }

    @Test
    public void truncatedStreamIgnoresACheckpointOlderThanAnotherRecordOfTheJob() {
        accept(0, JOB, 1);
        Job job = job();
        mStateMachine.restart(5);
        mOffset = 5;
        mStateMachine.skip(mOffset++, 0);
        long time = Duration.ofMinutes(11).toMillis();
        apply(time, new JobRecord.Cancelled(JOB));
        assertFalse(apply(time, new JobRecord.Checkpoint(JOB, 5, time, job)).isApplied());
        assertEquals(mStateMachine.unfinished(), 0);
    }

    @Test
    public void encodedRecordIsDecodedUnchanged() {
        accept(0, JOB, 1);
        acquireAndReturnFence(0);
        JobRecord record = new JobRecord.Checkpoint(JOB, 3, 4, job());
        byte[] data = JobTable.CODEC.encode(record, "x".getBytes());
        assertEquals(JobTable.CODEC.decode(data).orElseThrow().header(), record);
    }

    private Job job() {
        return mStateMachine.find(JOB).orElseThrow();
    }

    private JobApplyResult accept(long time, JobId id, long bodyHash) {
        JobApplyResult result = submit(time, id, bodyHash);
        apply(time, new JobRecord.Confirmed(id));
        return result;
    }

    private JobApplyResult submit(long time, JobId id, long bodyHash) {
        return apply(time, new JobRecord.Submitted(id, spec(bodyHash), RESULT, time));
    }

    private static JobSpec spec(long bodyHash) {
        Optional<KeyHash> key = Optional.of(KeyHash.of(TEAM, "series-7"));
        PipelineId pipeline = new PipelineId("publish");
        return new JobSpec(TEAM, pipeline, new RequestId(1, 2), key, bodyHash);
    }

    private JobApplyResult acquire(long time) {
        return apply(time, new JobRecord.LeaseAcquired(JOB, ENTRY, LEASE));
    }

    private long acquireAndReturnFence(long time) {
        return acquire(time).job().flatMap(Job::lease).orElseThrow().fence();
    }

    private JobApplyResult finish(long time, long fence) {
        return apply(time, new JobRecord.Finished(JOB, fence, 200, false, "", RESULT));
    }

    private JobApplyResult apply(long time, JobRecord record) {
        return mStateMachine.apply(mOffset++, time, record);
    }
}
