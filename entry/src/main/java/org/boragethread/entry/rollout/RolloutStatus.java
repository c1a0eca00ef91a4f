package org.boragethread.entry.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.follow.TopicListener;
import org.boragethread.core.rollout.RolloutState;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.platform.store.MalformedRecordException;
import org.boragethread.platform.store.OperatorKeys;
import org.boragethread.platform.store.RolloutCodec;
import org.boragethread.process.log.EventLog;

/** Reads the states of roll-outs in the store. */
final class RolloutStatus implements TopicListener {

    private final Receiver mReceiver;
    private final EventLog mLog;

    /** Takes the states. */
    interface Receiver {

        /** A state was read. */
        void onState(RolloutState state);

        /** All states are known that had been recorded at a time. */
        void onStatusRead(ClockReading asOf);

        /** The store came back from an older copy, whose states are told next. */
        void onStatusRestored();

        /** The states can't be read. */
        void onStatusLost(String detail);

        /** The states can be read again. */
        void onStatusRegained();
    }

    RolloutStatus(Receiver receiver, EventLog log) {
        mReceiver = receiver;
        mLog = log;
    }

    @Override
    public void onStoreRestored() {
        mReceiver.onStatusRestored();
    }

    @Override
    public void onSnapshot(Map<String, byte[]> values) {
        List<RuntimeException> failures = new ArrayList<>();
        values.forEach(
                (key, value) -> {
                    try {
                        onChange(key, Optional.of(value));
                    } catch (RuntimeException e) {
                        failures.add(e);
                    }
                });
        // The states are not confirmed as read until those of all groups were taken.
        if (!failures.isEmpty()) {
            throw failures.get(0);
        }
    }

    @Override
    public void onChange(String key, Optional<byte[]> value) {
        Optional<GroupId> group = OperatorKeys.rolloutStateGroup(key);
        if (group.isEmpty() || value.isEmpty()) {
            return;
        }
        try {
            RolloutState state = RolloutCodec.decodeState(value.get());
            if (!state.order().request().group().equals(group.get())) {
                throw new MalformedRecordException("the state is of another service");
            }
            mReceiver.onState(state);
        } catch (MalformedRecordException e) {
            mLog.event("rollout-state")
                    .with("key", key)
                    .with("outcome", "unreadable")
                    .with("detail", e.getMessage())
                    .with("remedy", "only entries may write this key of the status topic")
                    .warn();
        }
    }

    @Override
    public void onUpToDate(ClockReading asOf) {
        mReceiver.onStatusRead(asOf);
    }

    @Override
    public void onStoreUnavailable(String detail) {
        mReceiver.onStatusLost(detail);
    }

    @Override
    public void onStoreAvailable() {
        mReceiver.onStatusRegained();
    }
}
