package org.boragethread.core.config;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Queue of listener notifications. They are delivered in order by one thread at a time, which does
 * not hold the store's lock.
 */
final class NotificationQueue {

    private static final Logger LOGGER = LogManager.getLogger(NotificationQueue.class);

    private final List<ConfigListener> mListeners = new CopyOnWriteArrayList<>();
    private final Queue<Consumer<ConfigListener>> mQueue = new ArrayDeque<>();
    private boolean mDraining;

    void addListener(ConfigListener listener) {
        mListeners.add(listener);
    }

    synchronized void add(Consumer<ConfigListener> notification) {
        mQueue.add(notification);
    }

    /** Delivers all queued notifications, unless another thread is already delivering them. */
    void drain() {
        Consumer<ConfigListener> next = poll(false);
        while (next != null) {
            deliver(next);
            next = poll(true);
        }
    }

    private synchronized Consumer<ConfigListener> poll(boolean isDrainer) {
        if (mDraining && !isDrainer) {
            return null;
        }
        Consumer<ConfigListener> next = mQueue.poll();
        mDraining = next != null;
        return next;
    }

    private void deliver(Consumer<ConfigListener> notification) {
        for (ConfigListener listener : mListeners) {
            try {
                notification.accept(listener);
            } catch (RuntimeException | Error e) {
                LOGGER.error("configuration listener {} failed", listener, e);
            }
        }
    }
}
