package org.boragethread.core.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds the parts that explain the crashes, among all with conclusive evidence. An upstream that
 * crashes breaks off sound requests too, so that during a series of crashes sound parts gather
 * evidence beside the crashing one. The part with the most crashes is taken first, and its crashes
 * do not count against the others any more.
 */
final class CulpritSearch {

    /** Share of a part's crashes from which on another part may be the cause of all of them. */
    private static final double COMPANION_SHARE = 0.5;

    private final Map<Suspect, SuspectEvidence> mEvidence;

    /** Creates a search among parts with conclusive evidence. */
    CulpritSearch(Map<Suspect, SuspectEvidence> evidence) {
        mEvidence = evidence;
    }

    /**
     * Returns the culprits. Each has companions that were in most of the requests under which it
     * crashed upstreams, so that one of them may be the cause instead.
     */
    Map<Suspect, Set<Suspect>> find() {
        Map<Suspect, Set<Suspect>> culprits = new LinkedHashMap<>();
        Map<Suspect, Set<String>> unexplained = new LinkedHashMap<>();
        sortedParts().forEach(part -> unexplained.put(part, mEvidence.get(part).crashes()));
        while (!unexplained.isEmpty()) {
            Suspect strongest = strongest(unexplained);
            Set<String> crashes = unexplained.remove(strongest);
            if (!mEvidence.get(strongest).sequence(crashes).isConclusive()) {
                continue;
            }
            culprits.put(strongest, companions(strongest, crashes));
            unexplained.values().forEach(rest -> rest.removeAll(crashes));
        }
        return culprits;
    }

    /** Sorts by key, so that all processes decide alike between equals. */
    private List<Suspect> sortedParts() {
        List<Suspect> parts = new ArrayList<>(mEvidence.keySet());
        parts.sort(Comparator.comparing(Suspect::toString));
        return parts;
    }

    private static Suspect strongest(Map<Suspect, Set<String>> unexplained) {
        Suspect strongest = unexplained.keySet().iterator().next();
        for (Map.Entry<Suspect, Set<String>> entry : unexplained.entrySet()) {
            if (entry.getValue().size() > unexplained.get(strongest).size()) {
                strongest = entry.getKey();
            }
        }
        return strongest;
    }

    private Set<Suspect> companions(Suspect culprit, Set<String> crashes) {
        Set<Suspect> companions = new HashSet<>();
        mEvidence.forEach(
                (part, evidence) -> {
                    Set<String> common = evidence.crashes();
                    common.retainAll(crashes);
                    if (!part.equals(culprit)
                            && part.isCompatible(culprit)
                            && common.size() >= crashes.size() * COMPANION_SHARE) {
                        companions.add(part);
                    }
                });
        return companions;
    }
}
