package org.boragethread.core.follow;

import java.util.Map;
import java.util.Optional;

/** Receives the content of a topic. */
public interface TopicListener {

    /**
     * Called before the snapshot if the store came back from an older copy. Records of that
     * snapshot may be older than those delivered before, and missing ones may still be written
     * again.
     */
    void onStoreRestored();

    /** Called with the whole content of the topic, which replaces all previous content. */
    void onSnapshot(Map<String, byte[]> values);

    /** Called when the value of a key was changed or removed. */
    void onChange(String key, Optional<byte[]> value);

    /** Called when all records that the store had accepted at the given time were delivered. */
    void onUpToDate(ClockReading asOf);

    /** Called when the store becomes unavailable, once for each outage. */
    void onStoreUnavailable(String detail);

    /** Called when the store is available again. */
    void onStoreAvailable();
}
