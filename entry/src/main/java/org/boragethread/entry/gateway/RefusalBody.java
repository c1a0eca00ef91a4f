package org.boragethread.entry.gateway;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.util.Locale;
import org.boragethread.model.outcome.Refusal;

/** Formats a refusal as a JSON problem document (RFC 9457). */
final class RefusalBody {

    private RefusalBody() {}

    static String of(Refusal refusal) {
        return "{\"reason\":\"%s\",\"ran\":\"%s\",\"detail\":\"%s\",\"remedy\":\"%s\"}"
                .formatted(
                        refusal.reason().label(),
                        refusal.ran().name().toLowerCase(Locale.ROOT),
                        escape(refusal.detail()),
                        escape(refusal.reason().remedy()));
    }

    private static String escape(String text) {
        return new String(JsonStringEncoder.getInstance().quoteAsString(text));
    }
}
