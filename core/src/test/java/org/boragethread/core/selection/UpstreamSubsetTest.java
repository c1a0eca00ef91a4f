package org.boragethread.core.selection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.boragethread.model.upstream.UpstreamId;
import org.testng.annotations.Test;

/** Tests {@link UpstreamSubset}. */
public class UpstreamSubsetTest {

    private static final int ENTRIES = 12;
    private static final int UPSTREAMS = 400;
    private static final int SIZE = 50;
    private static final int COVERAGE = 2;

    @Test
    public void allUpstreamsAreChosenWhenThereAreFew() {
        List<UpstreamId> upstreams = upstreams(SIZE);
        assertEquals(subset(0).choose(upstreams, entries()), new HashSet<>(upstreams));
    }

    @Test
    public void choiceDoesNotDependOnTheOrderOfTheList() {
        List<UpstreamId> reversed = upstreams(UPSTREAMS);
        Collections.reverse(reversed);
        assertEquals(
                subset(3).choose(reversed, entries()),
                subset(3).choose(upstreams(UPSTREAMS), entries()));
    }

    @Test
    public void everyUpstreamIsInEnoughSubsets() {
        Map<UpstreamId, Integer> covered = new HashMap<>();
        for (int i = 0; i < ENTRIES; i++) {
            Set<UpstreamId> chosen = subset(i).choose(upstreams(UPSTREAMS), entries());
            chosen.forEach(upstream -> covered.merge(upstream, 1, Integer::sum));
            assertTrue(chosen.size() <= 3 * SIZE, "size " + chosen.size());
        }
        assertEquals(covered.size(), UPSTREAMS);
        covered.values().forEach(count -> assertTrue(count >= COVERAGE));
    }

    @Test
    public void newUpstreamReplacesAtMostOneUpstreamOfASubset() {
        for (int i = 0; i < ENTRIES; i++) {
            Set<UpstreamId> before = subset(i).choose(upstreams(UPSTREAMS), entries());
            Set<UpstreamId> after = subset(i).choose(upstreams(UPSTREAMS + 1), entries());
            Set<UpstreamId> removed = new HashSet<>(before);
            removed.removeAll(after);
            assertTrue(removed.size() <= 1, "removed " + removed);
        }
    }

    private static UpstreamSubset subset(int entry) {
        return new UpstreamSubset("entry-" + entry, SIZE, COVERAGE);
    }

    private static List<String> entries() {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < ENTRIES; i++) {
            entries.add("entry-" + i);
        }
        return entries;
    }

    private static List<UpstreamId> upstreams(int count) {
        List<UpstreamId> upstreams = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            upstreams.add(new UpstreamId("vm-" + i));
        }
        return upstreams;
    }
}
