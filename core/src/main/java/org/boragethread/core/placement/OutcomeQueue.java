package org.boragethread.core.placement;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Notifications of listeners that wait until the state of the coordinator is consistent, since
 * listeners may call it back. Not thread-safe.
 */
final class OutcomeQueue {

    private final Deque<Runnable> mNotifications = new ArrayDeque<>();
    private boolean mDelivering;

    void add(Runnable notification) {
        mNotifications.add(notification);
    }

    /** Delivers all notifications, those that are added meanwhile included. */
    void deliver() {
        if (mDelivering) {
            return;
        }
        mDelivering = true;
        try {
            Runnable next = mNotifications.poll();
            while (next != null) {
                next.run();
                next = mNotifications.poll();
            }
        } finally {
            mDelivering = false;
        }
    }
}
