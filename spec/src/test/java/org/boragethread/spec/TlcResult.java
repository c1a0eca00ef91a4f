package org.boragethread.spec;

import java.time.Duration;
import java.util.Optional;

/**
 * Result of a run of the model checker.
 *
 * @param complete whether every reachable state was checked without an error
 * @param violatedInvariant the violated invariant, if any
 * @param distinctStates number of distinct states found
 * @param elapsed wall-clock time of the run
 * @param output the output of the model checker
 */
record TlcResult(
        boolean complete,
        Optional<String> violatedInvariant,
        long distinctStates,
        Duration elapsed,
        String output) {}
