package org.boragethread.entry.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.boragethread.wire.proto.PlacementDecision;
import org.boragethread.wire.proto.PlacementEvent;
import org.boragethread.wire.proto.PlacementHeld;
import org.boragethread.wire.proto.PlacementNeeds;
import org.boragethread.wire.proto.PlacementQuery;
import org.boragethread.wire.proto.PlacementReport;
import org.boragethread.wire.proto.PlacementReports;
import org.boragethread.wire.proto.PlacementRestore;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what a coordinator does for entries that are not listed, restarted or malformed. */
public class PlacementServerTest {

    private static final String ENTRY = "127.0.0.1:1";
    private static final String SELF = "127.0.0.1:2";
    private static final EntryIncarnation SENDER = new EntryIncarnation(ENTRY, 2);

    private OneEngine mEngine;
    private PlacementServer mServer;
    private List<String> mOutcomes;

    @BeforeMethod
    public void start() {
        mEngine = new OneEngine();
        mServer = new PlacementServer(mEngine, mEngine.time());
        mServer.onMembersChanged(Set.of(ENTRY, SELF));
        restore();
        restore(new EntryIncarnation(SELF, 1));
        mOutcomes = new ArrayList<>();
    }

    private static PlacementNeeds needs(long number, long promptTokens) {
        long left = Duration.ofSeconds(10).toNanos();
        return PlacementNeeds.newBuilder()
                .setNumber(number)
                .setRequestId("r" + number)
                .setPromptTokens(promptTokens)
                .setOutputTokens(1)
                .setTargetLeftNanos(left)
                .setDeadlineLeftNanos(left)
                .setExpiryLeftNanos(left)
                .build();
    }

    private void place(long number) {
        place(number, OneEngine.PROMPT_TOKENS);
    }

    private void place(long number, int promptTokens) {
        place(needs(number, promptTokens));
    }

    private void place(PlacementNeeds needs) {
        PlacementQuery query =
                PlacementQuery.newBuilder()
                        .setGroup(OneEngine.GROUP.value())
                        .setSender(SENDER.encode())
                        .setNeeds(needs)
                        .build();
        mServer.place(query, new Outcome(needs.getRequestId()));
    }

    private static PlacementReports.Builder reports(EntryIncarnation sender) {
        return PlacementReports.newBuilder()
                .setGroup(OneEngine.GROUP.value())
                .setSender(sender.encode());
    }

    private static PlacementHeld held(PlacementNeeds needs) {
        return PlacementHeld.newBuilder()
                .setNeeds(needs)
                .setEngine(OneEngine.ENGINE.value())
                .build();
    }

    private ReportResult restore(PlacementHeld... held) {
        return restore(SENDER, held);
    }

    private ReportResult restore(EntryIncarnation sender, PlacementHeld... held) {
        return restore(sender, 100, held);
    }

    private ReportResult restore(
            EntryIncarnation sender, long completeBelow, PlacementHeld... held) {
        PlacementRestore.Builder restore =
                PlacementRestore.newBuilder().setCompleteBelow(completeBelow);
        return mServer.apply(reports(sender).setRestore(restore.addAllHeld(List.of(held))).build());
    }

    // Guards against requests that hang until their deadline, since the entry still gets responses.
    @Test
    public void waitingRequestsOfUnlistedEntryAreEnded() {
        place(1);
        place(2);
        assertEquals(mOutcomes, List.of("r1 engine"));
        mServer.onMembersChanged(Set.of(SELF));
        assertEquals(mOutcomes, List.of("r1 engine", "r2 ended"));
        assertEquals(mServer.waiting(), 0);
    }

    // Guards against running requests that no longer count, so that engines are overfilled.
    @Test
    public void unlistedEntryIsAskedToRestore() {
        assertEquals(restore(), ReportResult.CONFIRMED);
        place(1);
        assertEquals(mServer.apply(reports(SENDER).build()), ReportResult.CONFIRMED);
        mServer.onMembersChanged(Set.of(SELF));
        assertEquals(mServer.placed(), 1);
        assertEquals(mServer.apply(reports(SENDER).build()), ReportResult.RESTORE_NEEDED);
        assertEquals(restore(held(needs(1, 600))), ReportResult.CONFIRMED);
        assertEquals(mServer.placed(), 1);
        assertEquals(mServer.apply(reports(SENDER).build()), ReportResult.CONFIRMED);
    }

    // Guards against requests of an entry that has lost its membership: they still run, and the
    // engine is given others beside them. They count until a restore without them, or expire.
    @Test
    public void requestsOfUnlistedEntryCountUntilTheyEnd() {
        place(1);
        mServer.onMembersChanged(Set.of(SELF));
        place(2);
        assertEquals(mOutcomes, List.of("r1 engine"));
        assertEquals(restore(held(needs(1, 600))), ReportResult.CONFIRMED);
        assertEquals(mServer.placed(), 1);
        place(101);
        restore();
        assertEquals(mOutcomes, List.of("r1 engine", "r101 engine"));
        mServer.onMembersChanged(Set.of(ENTRY, SELF));
        mServer.onMembersChanged(Set.of(SELF));
        mEngine.time().advance(Duration.ofSeconds(11));
        assertEquals(mServer.placed(), 0);
    }

    // Guards against a new coordinator that fills engines which are full of requests that it has
    // not been told of yet.
    @Test
    public void memoryOfEntriesThatHaveNotRestoredIsNotUsed() {
        EntryIncarnation self = new EntryIncarnation(SELF, 1);
        mServer = new PlacementServer(mEngine, mEngine.time());
        mServer.onMembersChanged(Set.of(ENTRY, SELF));
        place(1);
        restore(self, held(needs(1, 600)));
        assertEquals(mOutcomes, List.of());
        restore();
        place(101);
        assertEquals(mOutcomes, List.of());
        restore(self);
        assertEquals(mOutcomes, List.of("r101 engine"));
    }

    // Guards against a coordinator that serves nobody while an entry is silent, and against one
    // that
    // uses the memory which that entry may fill by itself.
    @Test
    public void shareOfSilentEntryIsHeldBack() {
        mServer = new PlacementServer(mEngine, mEngine.time());
        mServer.onMembersChanged(Set.of(ENTRY, SELF));
        place(1, 498);
        place(2, 498);
        assertEquals(mOutcomes, List.of());
        restore(SENDER, 0L);
        assertEquals(mOutcomes, List.of("r1 engine"));
        PlacementReport processed =
                PlacementReport.newBuilder()
                        .setNumber(1)
                        .setEvent(PlacementEvent.PLACEMENT_EVENT_FIRST_EVENT)
                        .build();
        mServer.apply(reports(SENDER).addReports(processed).build());
        assertEquals(mOutcomes, List.of("r1 engine"));
        mServer.onMembersChanged(Set.of(ENTRY));
        assertEquals(mOutcomes, List.of("r1 engine", "r2 engine"));
    }

    // Guards against a refusal that is lost because it is reported beside a restore: the prefix of
    // the request is then taken for cached.
    @Test
    public void reportBesideRestoreIsNotLost() {
        place(needs(1, 100).toBuilder().setPrefixHash(7).setPrefixTokens(50).build());
        PlacementReport refused =
                PlacementReport.newBuilder()
                        .setNumber(1)
                        .setEvent(PlacementEvent.PLACEMENT_EVENT_REFUSED)
                        .build();
        PlacementRestore restore = PlacementRestore.newBuilder().setCompleteBelow(100).build();
        mServer.apply(reports(SENDER).setRestore(restore).addReports(refused).build());
        assertEquals(mServer.placed(), 0);
        place(needs(101, 100).toBuilder().setPrefixHash(7).setPrefixTokens(50).build());
        assertEquals(mOutcomes.get(1), "r101 engine");
    }

    // Guards against a coordinator that is overloaded, because it chooses engines for all waiting
    // requests after each report.
    @Test
    public void reportsOfOneMessageCauseOneDispatch() {
        place(1);
        place(2);
        PlacementReports.Builder message = reports(SENDER);
        for (int i = 0; i < 100; i++) {
            message.addReportsBuilder()
                    .setNumber(1)
                    .setEvent(PlacementEvent.PLACEMENT_EVENT_FIRST_EVENT);
        }
        int before = mEngine.limitReads();
        mServer.apply(message.build());
        assertEquals(mEngine.limitReads(), before + 1);
    }

    // Guards against a malformed request that stops all reports of its entry.
    @Test
    public void malformedHeldRequestIsSkipped() {
        PlacementNeeds malformed = needs(1, 10).toBuilder().setPrefixTokens(20).build();
        assertEquals(restore(held(malformed), held(needs(2, 600))), ReportResult.CONFIRMED);
        assertEquals(mServer.placed(), 1);
    }

    @Test
    public void malformedRequestIsInvalid() {
        PlacementQuery query =
                PlacementQuery.newBuilder()
                        .setGroup(OneEngine.GROUP.value())
                        .setSender(SENDER.encode())
                        .setNeeds(needs(1, -1))
                        .build();
        assertThrows(IllegalArgumentException.class, () -> mServer.place(query, new Outcome("r1")));
        place(2);
        assertEquals(mOutcomes, List.of("r2 engine"));
    }

    // Guards against an entry whose clock was set back, and whose reports are lost unnoticed.
    @Test
    public void reportsOfEarlierIncarnationAreRefused() {
        assertEquals(restore(), ReportResult.CONFIRMED);
        EntryIncarnation earlier = new EntryIncarnation(ENTRY, 1);
        assertEquals(mServer.apply(reports(earlier).build()), ReportResult.REFUSED);
    }

    // Guards against numbers of requests that do not fit into 32 bits.
    @Test
    public void largeNumbersAreDistinct() {
        place(1);
        place((1L << 32) + 1);
        assertEquals(mServer.placed(), 1);
        assertEquals(mServer.waiting(), 1);
        PlacementReport ended =
                PlacementReport.newBuilder()
                        .setNumber(1)
                        .setEvent(PlacementEvent.PLACEMENT_EVENT_COMPLETED)
                        .build();
        mServer.apply(reports(SENDER).addReports(ended).build());
        assertTrue(mOutcomes.contains("r" + ((1L << 32) + 1) + " engine"), "" + mOutcomes);
    }

    /** Records what becomes of one request. */
    private final class Outcome implements PlacementServer.Receiver {

        private final String mId;

        Outcome(String id) {
            mId = id;
        }

        @Override
        public void onDecision(PlacementDecision decision) {
            mOutcomes.add(
                    mId
                            + (decision.getPrefixCached() ? " cached " : " ")
                            + decision.getEngine()
                            + decision.getRefusal());
        }

        @Override
        public void onSenderEnded() {
            mOutcomes.add(mId + " ended");
        }
    }
}
