package org.boragethread.core.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/**
 * One counter for each constant of an enum. All are registered up front, so that those that were
 * never incremented are exported as 0.
 */
final class ReasonCounters<E extends Enum<E>> {

    private final Map<E, Counter> mCounters;

    ReasonCounters(
            MeterRegistry registry, String name, String description, Tags tags, Class<E> type) {
        mCounters = new EnumMap<>(type);
        for (E constant : type.getEnumConstants()) {
            mCounters.put(
                    constant,
                    Counter.builder(name)
                            .description(description)
                            .tags(tags)
                            .tag("reason", label(constant))
                            .register(registry));
        }
    }

    void count(E reason) {
        mCounters.get(reason).increment();
    }

    private static String label(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
