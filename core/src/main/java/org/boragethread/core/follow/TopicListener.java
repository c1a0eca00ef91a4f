package org.boragethread.core.follow;

import java.util.Map;
import java.util.Optional;

/** Learns what a topic holds. */
public interface TopicListener {

    /** The whole content of the topic; it replaces what was known. */
    void onSnapshot(Map<String, byte[]> values);

    /** A key has a new value, or none. */
    void onChange(String key, Optional<byte[]> value);

    /** Everything that the store had accepted at the given moment has been delivered. */
    void onCurrent(Moment moment);

    /** The store cannot be read; called once for each outage. */
    void onLost(String detail);

    /** The store can be read again. */
    void onRegained();
}
