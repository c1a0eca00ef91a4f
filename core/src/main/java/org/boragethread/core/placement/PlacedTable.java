package org.boragethread.core.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeSet;

/** All placed requests that have not ended, by key and by time of expiry. Not thread-safe. */
final class PlacedTable {

    private final Map<PlacementKey, PlacedRequest> mByKey = new HashMap<>();
    private final TreeSet<PlacedRequest> mByExpiry =
            new TreeSet<>(
                    Comparator.comparingLong(PlacedRequest::expiresAt)
                            .thenComparingLong(PlacedRequest::sequence));

    void add(PlacedRequest placed) {
        mByKey.put(placed.request().key(), placed);
        mByExpiry.add(placed);
    }

    Optional<PlacedRequest> find(PlacementKey key) {
        return Optional.ofNullable(mByKey.get(key));
    }

    Optional<PlacedRequest> remove(PlacementKey key) {
        Optional<PlacedRequest> placed = Optional.ofNullable(mByKey.remove(key));
        placed.ifPresent(mByExpiry::remove);
        return placed;
    }

    /** Returns the requests that a run of an entry has at engines. */
    List<PlacedRequest> ofEntry(String entry) {
        return mByKey.values().stream()
                .filter(placed -> placed.request().key().entry().equals(entry))
                .toList();
    }

    /** Records that the prompt is processed, which changes the time of expiry. */
    void markFirstEventSeen(PlacedRequest placed) {
        mByExpiry.remove(placed);
        placed.markFirstEventSeen();
        mByExpiry.add(placed);
    }

    /** Returns the request that expires first, if it has expired. */
    Optional<PlacedRequest> firstExpired(long now) {
        return mByExpiry.isEmpty() || mByExpiry.first().expiresAt() > now
                ? Optional.empty()
                : Optional.of(mByExpiry.first());
    }

    OptionalLong nextExpiry() {
        return mByExpiry.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(mByExpiry.first().expiresAt());
    }

    int size() {
        return mByKey.size();
    }
}
