package org.boragethread.core.callback;

import java.util.Collection;
import java.util.function.Consumer;

/** Calls several receivers, none of which loses its call because another one throws. */
public final class Callbacks {

    private Callbacks() {}

    /**
     * Passes each element to an action.
     *
     * @throws RuntimeException or Error, the first that an action threw, after all actions ran; the
     *     others are suppressed in it
     */
    public static <T> void forEach(Collection<T> elements, Consumer<? super T> action) {
        Throwable first = null;
        for (T element : elements) {
            try {
                action.accept(element);
            } catch (RuntimeException | Error e) {
                if (first == null) {
                    first = e;
                } else if (first != e) {
                    first.addSuppressed(e);
                }
            }
        }
        if (first instanceof Error error) {
            throw error;
        }
        if (first != null) {
            throw (RuntimeException) first;
        }
    }
}
