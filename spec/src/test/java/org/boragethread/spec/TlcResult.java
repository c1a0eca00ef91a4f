package org.boragethread.spec;

import java.time.Duration;
import java.util.Optional;

/**
 * What the model checker found.
 *
 * @param complete whether every reachable state was checked without an error
 * @param violated the invariant that does not hold
 * @param distinctStates number of distinct states found
 * @param elapsed wall-clock time of the run
 * @param output everything that the model checker printed
 */
record TlcResult(
        boolean complete,
        Optional<String> violated,
        long distinctStates,
        Duration elapsed,
        String output) {}
