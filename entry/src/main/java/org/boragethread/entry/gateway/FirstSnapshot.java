package org.boragethread.entry.gateway;

import java.util.Map;
import java.util.Optional;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.follow.TopicListener;

/** Runs an action once, after the first snapshot of a topic. */
final class FirstSnapshot implements TopicListener {

    private final Runnable mAction;
    private boolean mDone;

    FirstSnapshot(Runnable action) {
        mAction = action;
    }

    @Override
    public void onSnapshot(Map<String, byte[]> values) {
        if (!mDone) {
            mDone = true;
            mAction.run();
        }
    }

    @Override
    public void onStoreRestored() {}

    @Override
    public void onChange(String key, Optional<byte[]> value) {}

    @Override
    public void onUpToDate(ClockReading asOf) {}

    @Override
    public void onStoreUnavailable(String detail) {}

    @Override
    public void onStoreAvailable() {}
}
