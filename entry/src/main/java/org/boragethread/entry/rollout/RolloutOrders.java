package org.boragethread.entry.rollout;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.follow.TopicListener;
import org.boragethread.core.rollout.RolloutRequest;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.platform.store.MalformedRecordException;
import org.boragethread.platform.store.OperatorKeys;
import org.boragethread.platform.store.RolloutCodec;
import org.boragethread.process.log.EventLog;

/** Reads the roll-outs that operators order in the store. */
final class RolloutOrders implements TopicListener {

    /** Time in which operators' records that an older copy of the store lacks are written again. */
    private static final Duration REWRITE_TIME = Duration.ofMillis(2500);

    private final Receiver mReceiver;
    private final TimeSource mTime;
    private final Scheduler mScheduler;
    private final EventLog mLog;
    private final Map<GroupId, RolloutRequest> mRequests = new HashMap<>();
    private final Set<GroupId> mInStore = new HashSet<>();
    private final Map<String, String> mMalformed = new HashMap<>();
    private long mRewriteEndNanos;

    /** Takes the orders. */
    interface Receiver {

        /** Replaces the valid orders. */
        void onRequests(Map<GroupId, RolloutRequest> requests);

        /** All orders are known that had been written at a time. */
        void onOrdersRead(ClockReading asOf);

        /** The store came back from an older copy, which may lack states that are known. */
        void onOrdersRestored();
    }

    RolloutOrders(Receiver receiver, TimeSource time, Scheduler scheduler, EventLog log) {
        mReceiver = receiver;
        mTime = time;
        mScheduler = scheduler;
        mLog = log;
        mRewriteEndNanos = time.nanoTime();
    }

    @Override
    public void onStoreRestored() {
        mRewriteEndNanos = mTime.nanoTime() + REWRITE_TIME.toNanos();
        mReceiver.onOrdersRestored();
    }

    @Override
    public void onSnapshot(Map<String, byte[]> values) {
        mInStore.clear();
        mMalformed.keySet().retainAll(values.keySet());
        values.forEach((key, value) -> apply(key, Optional.of(value)));
        removeMissing();
    }

    /** Removes the orders that the store does not have, once they would be written again. */
    private void removeMissing() {
        long remaining = mRewriteEndNanos - mTime.nanoTime();
        if (remaining > 0) {
            mScheduler.schedule(Duration.ofNanos(remaining), this::removeMissing);
        } else {
            mRequests.keySet().retainAll(mInStore);
        }
        mReceiver.onRequests(Map.copyOf(mRequests));
    }

    @Override
    public void onChange(String key, Optional<byte[]> value) {
        if (apply(key, value)) {
            mReceiver.onRequests(Map.copyOf(mRequests));
        }
    }

    /** Returns whether an order may have changed; a malformed one changes nothing. */
    private boolean apply(String key, Optional<byte[]> value) {
        if (!OperatorKeys.isRollout(key)) {
            return false;
        }
        Optional<GroupId> group = OperatorKeys.rolloutGroup(key);
        if (value.isEmpty()) {
            mMalformed.remove(key);
            group.ifPresent(mRequests::remove);
            group.ifPresent(mInStore::remove);
            return group.isPresent();
        }
        group.ifPresent(mInStore::add);
        try {
            GroupId known =
                    group.orElseThrow(
                            () -> new MalformedRecordException("the key names no valid service"));
            mRequests.put(known, RolloutCodec.decodeRequest(known, value.get()));
            mMalformed.remove(key);
            return true;
        } catch (MalformedRecordException e) {
            onMalformed(key, e.getMessage());
            return false;
        }
    }

    private void onMalformed(String key, String detail) {
        if (!detail.equals(mMalformed.put(key, detail))) {
            mLog.event("rollout-order")
                    .with("key", key)
                    .with("outcome", "malformed")
                    .with("detail", detail)
                    .with("remedy", "write {\"service\", \"target\", \"period_s\"} to " + key)
                    .warn();
        }
    }

    @Override
    public void onUpToDate(ClockReading asOf) {
        mReceiver.onOrdersRead(asOf);
    }

    @Override
    public void onStoreUnavailable(String detail) {}

    @Override
    public void onStoreAvailable() {}
}
