package org.boragethread.core.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds the suspects that explain the crashes, among all with conclusive evidence. An upstream that
 * crashes breaks off sound requests too, so that during a series of crashes sound suspects gather
 * evidence beside the crashing one. The suspect with the most crashes is taken first, and its
 * crashes do not count against the others any more.
 */
final class CulpritSearch {

    /**
     * Share of a suspect's crashes from which on another suspect may be the cause of all of them.
     */
    private static final double COMPANION_SHARE = 0.5;

    private final Map<Suspect, SuspectEvidence> mEvidence;

    /** Creates a search among suspects with conclusive evidence. */
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
        sortedSuspects()
                .forEach(suspect -> unexplained.put(suspect, mEvidence.get(suspect).crashes()));
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
    private List<Suspect> sortedSuspects() {
        List<Suspect> suspects = new ArrayList<>(mEvidence.keySet());
        suspects.sort(Comparator.comparing(Suspect::toString));
        return suspects;
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
                (suspect, evidence) -> {
                    Set<String> common = evidence.crashes();
                    common.retainAll(crashes);
                    if (!suspect.equals(culprit)
                            && suspect.isCompatible(culprit)
                            && common.size() >= crashes.size() * COMPANION_SHARE) {
                        companions.add(suspect);
                    }
                });
        return companions;
    }
}
