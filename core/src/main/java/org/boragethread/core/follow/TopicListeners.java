package org.boragethread.core.follow;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.boragethread.core.callback.Callbacks;

/**
 * Passes the content of a topic to several listeners, each of which ignores the others' keys. If
 * one throws, the others are called too before the exception is passed on.
 */
public final class TopicListeners implements TopicListener {

    private final List<TopicListener> mListeners;

    /** Creates a listener that invokes the given ones in order. */
    public TopicListeners(List<TopicListener> listeners) {
        mListeners = List.copyOf(listeners);
    }

    private void forEach(Consumer<TopicListener> call) {
        Callbacks.forEach(mListeners, call);
    }

    @Override
    public void onStoreRestored() {
        forEach(TopicListener::onStoreRestored);
    }

    @Override
    public void onSnapshot(Map<String, byte[]> values) {
        forEach(listener -> listener.onSnapshot(values));
    }

    @Override
    public void onChange(String key, Optional<byte[]> value) {
        forEach(listener -> listener.onChange(key, value));
    }

    @Override
    public void onUpToDate(ClockReading asOf) {
        forEach(listener -> listener.onUpToDate(asOf));
    }

    @Override
    public void onStoreUnavailable(String detail) {
        forEach(listener -> listener.onStoreUnavailable(detail));
    }

    @Override
    public void onStoreAvailable() {
        forEach(TopicListener::onStoreAvailable);
    }
}
