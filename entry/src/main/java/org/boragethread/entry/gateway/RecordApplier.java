package org.boragethread.entry.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.boragethread.core.callback.Callbacks;
import org.boragethread.platform.store.MalformedRecordException;
import org.boragethread.process.log.EventLog;

/**
 * Applies the records of a topic one by one, so that one that cannot be used decides about no
 * other. Such a record is passed over until it changes; it is logged when it appears and whenever
 * the reason changes, since some writers renew their records all the time.
 */
final class RecordApplier {

    private static final int MAX_DETAIL_LENGTH = 200;

    private final Gateway mGateway;
    private final String mEvent;
    private final Application mApplication;
    private final Map<String, String> mUnusable = new HashMap<>();

    /** Applies one record. */
    interface Application {

        /**
         * Applies a record.
         *
         * @param value value of the record; empty if it was removed
         * @throws MalformedRecordException or any RuntimeException if the record cannot be used
         */
        void apply(String key, Optional<byte[]> value) throws MalformedRecordException;
    }

    /**
     * Creates an applier.
     *
     * @param event name of the event that is logged for records that cannot be used
     */
    RecordApplier(Gateway gateway, String event, Application application) {
        mGateway = gateway;
        mEvent = event;
        mApplication = application;
    }

    /**
     * Applies all records of a snapshot and forgets all others.
     *
     * @throws Error that the application of a record threw, after all others were applied
     */
    void applyAll(Map<String, byte[]> values) {
        mUnusable.keySet().retainAll(values.keySet());
        Callbacks.forEach(
                values.entrySet(),
                record -> apply(record.getKey(), Optional.of(record.getValue())));
    }

    /** Applies one record; returns whether it could be used. */
    boolean apply(String key, Optional<byte[]> value) {
        try {
            mApplication.apply(key, value);
            mUnusable.remove(key);
            return true;
        } catch (MalformedRecordException e) {
            if (isNew(key, value, String.valueOf(e.getMessage()))) {
                line(key, e).info();
            }
        } catch (RuntimeException e) {
            if (isNew(key, value, e.toString())) {
                mGateway.metrics().onCallbackFailed("record");
                line(key, e).warn(e);
            }
        }
        return false;
    }

    private boolean isNew(String key, Optional<byte[]> value, String detail) {
        String previous = value.isEmpty() ? mUnusable.remove(key) : mUnusable.put(key, detail);
        if (detail.equals(previous)) {
            return false;
        }
        mGateway.metrics().onUnusableRecord(mEvent);
        return true;
    }

    private EventLog.Line line(String key, Exception cause) {
        return mGateway.log()
                .event(mEvent)
                .with("id", shorten(key))
                .with("outcome", "unreadable")
                .with("detail", shorten(String.valueOf(cause.getMessage())));
    }

    private static String shorten(String text) {
        return text.length() <= MAX_DETAIL_LENGTH ? text : text.substring(0, MAX_DETAIL_LENGTH);
    }
}
