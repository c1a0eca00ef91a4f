package org.boragethread.core.claim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.boragethread.model.claim.ClaimTarget;
import org.boragethread.model.outcome.RequestId;
import org.boragethread.model.place.EntryId;
import org.boragethread.model.team.TeamId;
import org.boragethread.model.upstream.UpstreamId;
import org.testng.annotations.Test;

/** Tests that folds which start anywhere in a claim stream never contradict the whole fold. */
public class TruncatedClaimStreamTest {

    private static final int SEEDS = 200;
    private static final int RECORDS = 120;
    private static final int KEYS = 3;
    private static final int RETENTION_MILLIS = 1_000;

    @Test
    public void truncatedStreamLetsNoClaimWinThatLosesInTheFullStreamAndKnowsNoOtherHolder() {
        int wins = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            List<TimedRecord> stream = randomStream(new Random(seed));
            for (int start = 1; start < RECORDS; start += 7) {
                wins += compare(stream, start, "seed " + seed + ", start " + start);
            }
        }
        assertTrue(wins > SEEDS, "late folds that never let a claim win prove little: " + wins);
    }

    private static int compare(List<TimedRecord> stream, int start, String message) {
        ClaimStateMachine whole = new ClaimStateMachine(0, Duration.ofMillis(RETENTION_MILLIS));
        ClaimStateMachine late = new ClaimStateMachine(0, Duration.ofMillis(RETENTION_MILLIS));
        int wins = 0;
        for (int i = 0; i < stream.size(); i++) {
            TimedRecord entry = stream.get(i);
            boolean winsInWhole = entry.applyTo(whole, i) instanceof ClaimApplyResult.Won;
            if (i < start) {
                continue;
            }
            if (entry.applyTo(late, i) instanceof ClaimApplyResult.Won) {
                wins++;
                assertTrue(winsInWhole, message + ", record " + i);
            }
            assertSameHolders(whole, late, message + ", record " + i);
        }
        return wins;
    }

    private static void assertSameHolders(
            ClaimStateMachine whole, ClaimStateMachine late, String message) {
        for (int k = 0; k < KEYS; k++) {
            Optional<ClaimView> view = late.find(key(k));
            if (view.filter(v -> v.status() != ClaimStatus.UNCERTAIN).isPresent()) {
                assertEquals(view, whole.find(key(k)), message);
            }
        }
    }

    private static List<TimedRecord> randomStream(Random random) {
        List<TimedRecord> stream = new ArrayList<>();
        long time = 0;
        for (int i = 0; i < RECORDS; i++) {
            // Long gaps let keys become quiet.
            time += random.nextInt(random.nextInt(15) == 0 ? 2_500 : 150);
            boolean isRepeated = i > 0 && random.nextInt(6) == 0;
            TimedRecord again = isRepeated ? stream.get(random.nextInt(i)) : null;
            stream.add(
                    isRepeated
                            ? new TimedRecord(time, again.id(), again.record())
                            : new TimedRecord(time, "record-" + i, randomRecord(random, i)));
        }
        return stream;
    }

    private static ClaimRecord randomRecord(Random random, int offset) {
        long claim = Math.max(0, offset - 1 - random.nextInt(8));
        ClaimTarget target = new ClaimTarget(new UpstreamId("orders-1"), 5);
        return switch (random.nextInt(8)) {
            case 0 -> new ClaimRecord.Release(claim, 0, ReleaseProof.AGENT_FENCED);
            case 1 -> new ClaimRecord.Release(claim, 1, ReleaseProof.AGENT_NOT_RUN);
            case 2 -> new ClaimRecord.Outcome(claim, 200, "", false);
            case 3 -> new ClaimRecord.Handover(claim, 1, target);
            default ->
                    new ClaimRecord.Claim(
                            key(random.nextInt(KEYS)),
                            1,
                            new RequestId(1, offset),
                            new EntryId("entry-1"),
                            0,
                            target);
        };
    }

    private static KeyHash key(int number) {
        return KeyHash.of(new TeamId("patrol"), "key-" + number);
    }

    private record TimedRecord(long timeMillis, String id, ClaimRecord record) {

        ClaimApplyResult applyTo(ClaimStateMachine ledger, long offset) {
            return ledger.apply(offset, timeMillis, id, record);
        }
    }
}
