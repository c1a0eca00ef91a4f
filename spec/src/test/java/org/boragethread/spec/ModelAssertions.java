package org.boragethread.spec;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Optional;

/** Assertions on runs of the model checker. */
final class ModelAssertions {

    private static final int WORKERS = 2;

    private ModelAssertions() {}

    /**
     * Asserts that all invariants hold in all states and that at least so many states are reached.
     */
    static void assertHolds(TlcModel model, long minStates) {
        TlcResult result = Tlc.check(model, WORKERS);
        assertTrue(result.complete(), result.output());
        assertTrue(
                result.distinctStates() >= minStates,
                "%s: only %d states".formatted(model, result.distinctStates()));
    }

    /** Asserts that the model checker finds a state that violates the only invariant. */
    static void assertViolated(TlcModel model) {
        assertEquals(model.invariants().size(), 1, "number of invariants in " + model);
        TlcResult result = Tlc.check(model, 1);
        assertEquals(
                result.violatedInvariant(),
                Optional.of(model.invariants().get(0)),
                result.output());
    }
}
