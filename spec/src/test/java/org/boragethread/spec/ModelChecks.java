package org.boragethread.spec;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Optional;

/** Expectations on runs of the model checker. */
final class ModelChecks {

    private static final int WORKERS = 2;

    private ModelChecks() {}

    /** Expects every invariant to hold in every state, of which there are at least so many. */
    static void assertHolds(TlcModel model, long leastStates) {
        TlcResult result = Tlc.check(model, WORKERS);
        assertTrue(result.complete(), result.output());
        assertTrue(
                result.distinctStates() >= leastStates,
                "%s: only %d states".formatted(model, result.distinctStates()));
    }

    /** Expects the model checker to find a state in which the only invariant does not hold. */
    static void assertViolated(TlcModel model) {
        assertEquals(model.invariants().size(), 1, "one invariant in " + model);
        TlcResult result = Tlc.check(model, 1);
        assertEquals(result.violated(), Optional.of(model.invariants().get(0)), result.output());
    }
}
