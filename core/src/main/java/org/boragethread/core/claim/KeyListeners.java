package org.boragethread.core.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.boragethread.core.callback.Callbacks;

/** Listeners that are notified when the state of a key changes. Thread-safe. */
final class KeyListeners {

    private final Map<KeyHash, Set<Runnable>> mByKey = new HashMap<>();

    synchronized void add(KeyHash key, Runnable listener) {
        mByKey.computeIfAbsent(key, k -> new LinkedHashSet<>()).add(listener);
    }

    synchronized void remove(KeyHash key, Runnable listener) {
        Set<Runnable> listeners = mByKey.get(key);
        if (listeners == null) {
            return;
        }
        listeners.remove(listener);
        if (listeners.isEmpty()) {
            mByKey.remove(key);
        }
    }

    void fire(KeyHash key) {
        Callbacks.forEach(copy(key), Runnable::run);
    }

    private synchronized List<Runnable> copy(KeyHash key) {
        return new ArrayList<>(mByKey.getOrDefault(key, Set.of()));
    }

    synchronized int size() {
        return mByKey.size();
    }
}
