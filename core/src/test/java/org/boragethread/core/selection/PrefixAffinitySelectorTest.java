package org.boragethread.core.selection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.boragethread.model.upstream.GroupKind;
import org.testng.annotations.Test;

/** Tests {@link PrefixAffinitySelector}. */
public class PrefixAffinitySelectorTest {

    private static final int ENGINES = 8;
    private static final int LIMIT = 16;
    private static final int PREFIXES = 1000;

    private final Selector mSelector = new PrefixAffinitySelector(RelativeLatencies.UNIFORM);

    @Test
    public void samePrefixIsSentToTheSameEngine() {
        assertEquals(choose(42, engines(0)), choose(42, engines(0)));
    }

    @Test
    public void prefixesAreDistributedOverAllEngines() {
        int[] counts = new int[ENGINES];
        for (long prefix = 0; prefix < PREFIXES; prefix++) {
            counts[Integer.parseInt(choose(prefix, engines(0)))]++;
        }
        for (int count : counts) {
            assertEquals(count, PREFIXES / ENGINES, PREFIXES / ENGINES / 2.0);
        }
    }

    @Test
    public void engineKeepsItsPrefixWhileHalfOfItsLimitIsFree() {
        String preferred = choose(42, engines(0));
        assertEquals(choose(42, withLoad(engines(0), preferred, 7)), preferred);
    }

    @Test
    public void prefixOfAnOverloadedEngineMovesToTheNextEngine() {
        String preferred = choose(42, engines(0));
        String next = choose(42, withLoad(engines(0), preferred, 12));
        assertNotEquals(next, preferred);
        assertEquals(choose(42, withLoad(engines(0), preferred, 14)), next);
    }

    @Test
    public void lossOfOneEngineMovesOnlyItsPrefixes() {
        List<Candidate> rest = new ArrayList<>(engines(0));
        rest.remove(3);
        int moved = 0;
        for (long prefix = 0; prefix < PREFIXES; prefix++) {
            String before = choose(prefix, engines(0));
            if (!before.equals("3")) {
                assertEquals(choose(prefix, rest), before);
            } else {
                moved++;
            }
        }
        assertTrue(moved > 0);
    }

    private String choose(long prefix, List<Candidate> candidates) {
        return mSelector
                .select(TestCandidates.request(GroupKind.ENGINE, prefix), candidates)
                .orElseThrow()
                .upstream()
                .value();
    }

    private static List<Candidate> engines(int inFlight) {
        List<Candidate> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            engines.add(TestCandidates.inHomeDataCentre(Integer.toString(i), inFlight, LIMIT));
        }
        return engines;
    }

    private static List<Candidate> withLoad(List<Candidate> from, String name, int inFlight) {
        int index = Integer.parseInt(name);
        from.set(index, TestCandidates.inHomeDataCentre(name, inFlight, LIMIT));
        return from;
    }
}
