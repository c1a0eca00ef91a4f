package org.boragethread.core.configcheck;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.boragethread.model.routing.KeyHolder;
import org.boragethread.model.routing.Route;
import org.boragethread.model.routing.RoutingConfig;

/** Finds API keys that no route asks for, or that no request can carry. */
final class KeyRule implements ConfigRule {

    @Override
    public List<Finding> check(RoutingConfig config) {
        Map<String, KeyHolder> keys = new TreeMap<>(config.keys().orElse(Map.of()));
        List<Finding> findings = new ArrayList<>();
        boolean allPublic = config.routes().stream().allMatch(Route::publicAccess);
        if (!keys.isEmpty() && allPublic) {
            findings.add(
                    Finding.unused(
                            "unneeded-keys",
                            Place.of(Field.TEAMS),
                            "no route asks for an API key",
                            "remove the keys, or make a route not public"));
        }
        keys.forEach(
                (key, holder) -> {
                    if (!isSendable(key)) {
                        findings.add(
                                Finding.unused(
                                        "unmatchable-key",
                                        Place.keys(key),
                                        "no request can carry key %s of tenant %s"
                                                .formatted(KeyMask.mask(key), holder.team()),
                                        "use a key of printable ASCII characters that neither"
                                                + " begins nor ends with a space"));
                    }
                });
        return findings;
    }

    /**
     * Returns whether a key may equal what gateways read from a header: they decode it as ISO
     * 8859-1 and trim it, and it ends with the line.
     */
    private static boolean isSendable(String key) {
        return key.equals(key.trim()) && key.chars().allMatch(c -> c != '\n' && c <= 0xff);
    }
}
