package org.boragethread.wire.frame;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.boragethread.core.claim.ClaimAnswer;
import org.boragethread.model.claim.ClaimOutcome;
import org.boragethread.model.claim.ClaimRef;
import org.testng.annotations.Test;

/** Tests that claims and answers to claim queries are unchanged after a round trip. */
public final class ClaimProtoConversionsTest {

    private static final long INCARNATION = -77;
    private static final byte[] BODY = "cut".getBytes(StandardCharsets.UTF_8);

    @Test
    public void claimKeepsPositionAndIncarnation() {
        ClaimRef claim = new ClaimRef(3, 1L << 40);
        org.boragethread.wire.proto.ClaimRef message =
                ClaimProtoConversions.toProto(claim, INCARNATION);
        assertEquals(ClaimProtoConversions.fromProto(message), claim);
        assertEquals(message.getIncarnation(), INCARNATION);
    }

    @Test
    public void statesWithoutOutcomeRoundTrip() {
        for (ClaimAnswer.State state : ClaimAnswer.State.values()) {
            if (state != ClaimAnswer.State.DONE) {
                assertRoundTrip(ClaimAnswer.of(state));
            }
        }
    }

    @Test
    public void outcomeWithBodyRoundTrips() {
        assertRoundTrip(ClaimAnswer.done(ClaimOutcome.of(200, "text/plain", BODY)));
    }

    @Test
    public void emptyBodyIsDistinctFromOmittedBody() {
        assertRoundTrip(ClaimAnswer.done(ClaimOutcome.of(204, "", new byte[0])));
        assertRoundTrip(ClaimAnswer.done(new ClaimOutcome(200, "text/plain", Optional.empty())));
    }

    private static void assertRoundTrip(ClaimAnswer answer) {
        assertEquals(
                ClaimProtoConversions.fromProto(ClaimProtoConversions.toProto(5, answer)), answer);
    }
}
