package org.boragethread.core.resume;

import java.util.Optional;
import java.util.function.Consumer;

/** Calls other entries about the origins of streams. Callbacks are called once for each call. */
public interface StreamOriginPeers {

    /**
     * Tells an entry where a stream began.
     *
     * @param onFailure called instead of nothing if the entry may not know it
     */
    void record(String peer, StreamKey key, StreamOrigin origin, Runnable onFailure);

    /** Asks an entry where a stream began; the answer is empty if it does not know or respond. */
    void query(String peer, StreamKey key, Consumer<Optional<StreamOrigin>> callback);
}
