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

/**
 * Tests that a state machine that starts anywhere in a claim stream never contradicts one that
 * reads the full stream.
 */
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
        assertTrue(wins > SEEDS, "too few wins in truncated streams to be meaningful: " + wins);
    }

    private static int compare(List<TimedRecord> stream, int start, String message) {
        ClaimStateMachine full = new ClaimStateMachine(0, Duration.ofMillis(RETENTION_MILLIS));
        ClaimStateMachine truncated = new ClaimStateMachine(0, Duration.ofMillis(RETENTION_MILLIS));
        int wins = 0;
        for (int i = 0; i < stream.size(); i++) {
            TimedRecord entry = stream.get(i);
            boolean winsInFull = entry.applyTo(full, i) instanceof ClaimApplyResult.Won;
            if (i < start) {
                continue;
            }
            if (entry.applyTo(truncated, i) instanceof ClaimApplyResult.Won) {
                wins++;
                assertTrue(winsInFull, message + ", record " + i);
            }
            assertSameHolders(full, truncated, message + ", record " + i);
        }
        return wins;
    }

    private static void assertSameHolders(
            ClaimStateMachine full, ClaimStateMachine truncated, String message) {
        for (int k = 0; k < KEYS; k++) {
            Optional<ClaimView> view = truncated.find(key(k));
            if (view.filter(v -> v.status() != ClaimStatus.UNCERTAIN).isPresent()) {
                assertEquals(view, full.find(key(k)), message);
            }
        }
    }

    private static List<TimedRecord> randomStream(Random random) {
        List<TimedRecord> stream = new ArrayList<>();
        long time = 0;
        for (int i = 0; i < RECORDS; i++) {
            // Long gaps let keys expire.
            time += random.nextInt(random.nextInt(15) == 0 ? 2_500 : 150);
            boolean isRepeated = i > 0 && random.nextInt(6) == 0;
            TimedRecord earlier = isRepeated ? stream.get(random.nextInt(i)) : null;
            stream.add(
                    isRepeated
                            ? new TimedRecord(time, earlier.id(), earlier.record())
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

        ClaimApplyResult applyTo(ClaimStateMachine machine, long offset) {
            return machine.apply(offset, timeMillis, id, record);
        }
    }
}
