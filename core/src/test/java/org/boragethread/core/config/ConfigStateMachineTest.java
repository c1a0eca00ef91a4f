package org.boragethread.core.config;

import static org.boragethread.core.config.TestConfigs.FLORIDA;
import static org.boragethread.core.config.TestConfigs.SAN_JOSE;
import static org.boragethread.core.config.TestConfigs.accept;
import static org.boragethread.core.config.TestConfigs.apply;
import static org.boragethread.core.config.TestConfigs.base;
import static org.boragethread.core.config.TestConfigs.plan;
import static org.boragethread.core.config.TestConfigs.removeTeam;
import static org.boragethread.core.config.TestConfigs.takeOutOfService;
import static org.boragethread.core.config.TestConfigs.team;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.boragethread.model.config.Change;
import org.boragethread.model.config.Configuration;
import org.boragethread.model.config.Intent;
import org.boragethread.model.config.JobSettlement;
import org.boragethread.model.config.Plan;
import org.boragethread.model.place.ServiceState;
import org.boragethread.model.team.TeamId;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;
import org.testng.annotations.Test;

/** Tests {@link ConfigStateMachine}. */
public class ConfigStateMachineTest {

    private static final TeamId LINES = new TeamId("lines");

    @Test
    public void ofConcurrentPlansOneIsAcceptedAndTheOtherReportsTheConflict() {
        Configuration before = accept(base(), "start", team("lines", 1));
        Plan first = plan(before, "first", team("lines", 2));
        Plan second = plan(before, "second", team("lines", 3));
        Configuration afterFirst = apply(before, first).configuration();
        ApplyResult afterSecond = apply(afterFirst, second);
        RecordOutcome.Conflict conflict = (RecordOutcome.Conflict) afterSecond.outcome();
        assertEquals(
                conflict.detail(),
                "team \"lines\" changed at revision 2, but the plan was made for revision 1");
        assertEquals(afterSecond.configuration().team(LINES).orElseThrow().weight(), 2);
    }

    @Test
    public void plansOfDifferentObjectsDoNotConflict() {
        Configuration before = base();
        Plan first = plan(before, "first", team("lines", 2));
        Plan second = plan(before, "second", team("maps", 3));
        ApplyResult result = apply(apply(before, first).configuration(), second);
        assertTrue(result.outcome() instanceof RecordOutcome.Accepted, result.outcome().toString());
    }

    @Test
    public void concurrentPlansCannotTogetherLeaveAStageWithoutCapacity() {
        Configuration before = base();
        Plan first = plan(before, "first", takeOutOfService(FLORIDA));
        Plan second = plan(before, "second", takeOutOfService(SAN_JOSE));
        assertFalse(second.lacksForce());
        ApplyResult result = apply(apply(before, first).configuration(), second);
        RecordOutcome.Conflict conflict = (RecordOutcome.Conflict) result.outcome();
        assertEquals(conflict.detail(), "another object was taken out of service at revision 1");
        assertTrue(result.configuration().isInService(SAN_JOSE));
    }

    @Test
    public void repeatedConfirmationChangesNothing() {
        Configuration before = base();
        Plan plan = plan(before, "add", team("lines", 2));
        Configuration once = apply(before, plan).configuration();
        ApplyResult again = apply(once, plan);
        assertEquals(((RecordOutcome.Duplicate) again.outcome()).firstDecision().offset(), 1);
        assertEquals(again.configuration().decisions().size(), once.decisions().size());
    }

    @Test
    public void rejectedPlanStaysRejectedWhenItsObjectIsRestored() {
        Configuration before = base();
        Plan stale = plan(before, "late", team("lines", 9));
        Configuration added = accept(before, "add", team("lines", 1));
        Configuration rejected = apply(added, stale).configuration();
        Configuration removed = accept(rejected, "remove", removeTeam("lines"));
        ApplyResult again = apply(removed, stale);
        assertFalse(((RecordOutcome.Duplicate) again.outcome()).firstDecision().accepted());
        assertTrue(again.configuration().team(LINES).isEmpty());
    }

    @Test
    public void planOlderThanTheRememberedDecisionsIsRejected() {
        Configuration now = base();
        Plan old = plan(now, "old", team("lines", 9));
        for (int i = 0; i <= Configuration.MAX_RETAINED; i++) {
            now = accept(now, "change-" + i, team("maps", 1 + i % 5));
        }
        RecordOutcome.Invalid outcome = (RecordOutcome.Invalid) apply(now, old).outcome();
        assertEquals(outcome.error().kind(), ConfigError.Kind.PLAN_EXPIRED);
        assertEquals(now.decisions().size(), Configuration.MAX_RETAINED);
    }

    @Test
    public void planThatLeavesAStageWithoutCapacityNeedsForce() {
        Configuration before = accept(base(), "first", takeOutOfService(FLORIDA));
        Plan plan = plan(before, "second", takeOutOfService(SAN_JOSE));
        RecordOutcome.Invalid outcome = (RecordOutcome.Invalid) apply(before, plan).outcome();
        assertEquals(outcome.error().kind(), ConfigError.Kind.NEEDS_FORCE);
        Intent forced = new Intent("forced", "ana", List.of(takeOutOfService(SAN_JOSE)), true);
        ApplyResult result = apply(before, plan(forced, before));
        assertFalse(result.configuration().isInService(SAN_JOSE));
    }

    @Test
    public void corruptRecordOnlyAdvancesTheRevision() {
        Configuration before = base();
        ApplyResult result = ConfigStateMachine.apply(before, TestConfigs.corruptRecord(1));
        assertTrue(result.outcome() instanceof RecordOutcome.Invalid);
        assertEquals(result.configuration().revision(), 1);
        Configuration same = result.configuration().toBuilder().revision(0).build();
        assertEquals(ConfigCodec.hashOf(same), ConfigCodec.hashOf(before));
    }

    @Test
    public void planWithoutARevisionForItsObjectIsRejected() {
        Configuration before = base();
        Plan complete = plan(before, "add", team("lines", 2));
        Plan withoutRevisions =
                new Plan(
                        complete.id(),
                        complete.baseRevision(),
                        complete.intent(),
                        List.of(),
                        complete.steps(),
                        complete.effects());
        Plan withDigest =
                new Plan(
                        ConfigCodec.digestOf(withoutRevisions),
                        withoutRevisions.baseRevision(),
                        withoutRevisions.intent(),
                        withoutRevisions.touched(),
                        withoutRevisions.steps(),
                        withoutRevisions.effects());
        RecordOutcome.Invalid outcome = (RecordOutcome.Invalid) apply(before, withDigest).outcome();
        assertEquals(outcome.error().kind(), ConfigError.Kind.INVALID);
    }

    @Test
    public void upstreamBackInServiceIsNoLongerStored() {
        UpstreamId engine = new UpstreamId("engine-1");
        Configuration taken =
                accept(base(), "out", new Change.SetUpstreamService(engine, ServiceState.OUT));
        assertFalse(taken.isInService(engine, FLORIDA));
        Configuration back =
                accept(taken, "in", new Change.SetUpstreamService(engine, ServiceState.IN));
        assertTrue(back.isInService(engine, FLORIDA));
        assertEquals(back.upstreams().size(), 0);
    }

    @Test
    public void settledJobIsStored() {
        Configuration after =
                accept(base(), "settle", new Change.SettleJob("job-1", JobSettlement.NOT_RUN));
        assertEquals(after.settledJobs().get("job-1").value(), JobSettlement.NOT_RUN);
    }

    @Test
    public void oldPlanDoesNotRecreateARemovedObject() {
        Configuration before = base();
        Plan old = plan(before, "old", team("lines", 9));
        Configuration added = accept(before, "add", team("lines", 1));
        Configuration removed = accept(added, "remove", removeTeam("lines"));
        ApplyResult result = apply(removed, old);
        assertTrue(result.outcome() instanceof RecordOutcome.Conflict, result.outcome().toString());
        assertTrue(result.configuration().team(LINES).isEmpty());
    }

    @Test
    public void removalsArePartOfASnapshot() {
        Configuration before = base();
        Plan old = plan(before, "old", team("lines", 9));
        Configuration added = accept(before, "add", team("lines", 1));
        Configuration removed = accept(added, "remove", removeTeam("lines"));
        SnapshotAssembler assembler = new SnapshotAssembler();
        Configuration restored =
                SnapshotFormat.split(removed, Replication.MAX_FRAME_BYTES).stream()
                        .flatMap(part -> assembler.add("", part).stream())
                        .findFirst()
                        .orElseThrow()
                        .get();
        ApplyResult result = apply(restored, old);
        assertTrue(result.outcome() instanceof RecordOutcome.Conflict, result.outcome().toString());
        assertEquals(ConfigCodec.hashOf(restored), ConfigCodec.hashOf(removed));
    }

    @Test
    public void oldPlanDoesNotTakeAnUpstreamOutOfServiceAgain() {
        UpstreamId engine = new UpstreamId("engine-1");
        Change out = new Change.SetUpstreamService(engine, ServiceState.OUT);
        Configuration before = base();
        Plan old = plan(new Intent("old", "ana", List.of(out), true), before);
        Configuration taken = accept(before, "out", out);
        Configuration back =
                accept(taken, "in", new Change.SetUpstreamService(engine, ServiceState.IN));
        ApplyResult result = apply(back, old);
        assertTrue(result.outcome() instanceof RecordOutcome.Conflict, result.outcome().toString());
        assertTrue(result.configuration().isInService(engine, FLORIDA));
    }

    @Test
    public void planMadeAfterARemovalRecreatesTheObject() {
        Configuration added = accept(base(), "add", team("lines", 1));
        Configuration removed = accept(added, "remove", removeTeam("lines"));
        Configuration again = accept(removed, "again", team("lines", 3));
        assertEquals(again.team(LINES).orElseThrow().weight(), 3);
    }

    @Test
    public void removalOfATeamDoesNotConflictWithPlansOfOtherKinds() {
        Configuration added = accept(base(), "add", team("lines", 1));
        Plan group = plan(added, "group", TestConfigs.group(new GroupId("encoders")));
        Configuration removed = accept(added, "remove", removeTeam("lines"));
        ApplyResult result = apply(removed, group);
        assertTrue(result.outcome() instanceof RecordOutcome.Accepted, result.outcome().toString());
    }
}
