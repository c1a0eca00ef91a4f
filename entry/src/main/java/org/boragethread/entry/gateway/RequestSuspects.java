package org.boragethread.entry.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.boragethread.core.quarantine.Quarantine;
import org.boragethread.core.quarantine.Suspect;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.platform.store.PlatformHeaders;

/**
 * What about one request may crash upstreams: the parts of its prompt that other requests may have
 * too, and the whole request, which its caller may send again. A request with a prompt counts with
 * and without it, since a repetition may have other parts.
 */
final class RequestSuspects {

    private final Quarantine mQuarantine;
    private final GroupId mGroup;
    private final CallerRequest mRequest;
    private final String mTeam;
    private final List<Suspect> mParts;
    private List<Suspect> mWholeRequest = List.of();

    RequestSuspects(
            Quarantine quarantine,
            GroupId group,
            CallerRequest request,
            String team,
            List<Long> sharedParts) {
        mQuarantine = quarantine;
        mGroup = group;
        mRequest = request;
        mTeam = team;
        mParts = sharedParts.stream().map(id -> Suspect.part(group, id)).toList();
    }

    /**
     * Returns those against which there may be evidence. Requests are identified only once an
     * upstream of the group has crashed under any.
     */
    Collection<Suspect> known() {
        return mQuarantine.hasRequestSuspects(mGroup) ? all() : mParts;
    }

    /** Returns all. */
    Collection<Suspect> all() {
        List<Suspect> all = new ArrayList<>(mParts);
        all.addAll(wholeRequest());
        return all;
    }

    /** Returns the whole request, the most specific identification last. */
    private List<Suspect> wholeRequest() {
        if (mWholeRequest.isEmpty()) {
            List<Suspect> identifications = new ArrayList<>();
            identifications.add(Suspect.request(mGroup, RequestFingerprint.of(mRequest, mTeam)));
            String prompt = mRequest.headers().get(PlatformHeaders.PROMPT, "");
            if (!prompt.isEmpty()) {
                long fingerprint = RequestFingerprint.withPrompt(mRequest, mTeam, prompt);
                identifications.add(Suspect.promptedRequest(mGroup, fingerprint));
            }
            mWholeRequest = List.copyOf(identifications);
        }
        return mWholeRequest;
    }

    /** Returns whether an upstream is known to have crashed under the very same request. */
    boolean hasCrashedBefore() {
        if (!mQuarantine.hasRequestSuspects(mGroup)) {
            return false;
        }
        List<Suspect> identifications = wholeRequest();
        return mQuarantine.hasCrashes(identifications.get(identifications.size() - 1));
    }

    /** Returns for each suspect the known crashes under it; belongs to a call that is sent now. */
    Map<Suspect, Set<String>> precedents() {
        return mQuarantine.precedents(known());
    }

    /** Adds the suspects that were not yet identified when the call was sent. */
    Map<Suspect, Set<String>> complete(Map<Suspect, Set<String>> precedents) {
        Map<Suspect, Set<String>> complete = new HashMap<>(precedents);
        all().forEach(suspect -> complete.computeIfAbsent(suspect, key -> new HashSet<>()));
        return complete;
    }
}
