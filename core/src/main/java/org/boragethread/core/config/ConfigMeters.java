package org.boragethread.core.config;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Locale;
import java.util.Objects;

/** Counts the outcomes of records and exposes the state of a {@link ConfigStore} as metrics. */
public final class ConfigMeters implements ConfigListener {

    private static final String VERDICTS = "boragethread.config.verdicts";

    private final MeterRegistry mRegistry;

    private ConfigMeters(MeterRegistry registry) {
        mRegistry = Objects.requireNonNull(registry, "registry");
    }

    /** Adds the meters of a store to a registry. */
    public static void bind(ConfigStore store, MeterRegistry registry) {
        store.addListener(new ConfigMeters(registry));
        Gauge.builder("boragethread.config.revision", store, s -> s.current().revision())
                .description("Log offset of the last record in the configuration")
                .register(registry);
        Gauge.builder(
                        "boragethread.config.snapshot.mismatches",
                        store,
                        ConfigStore::snapshotMismatches)
                .description("Snapshots in the log that differ from this process's state")
                .register(registry);
    }

    @Override
    public void onRecordApplied(RecordOutcome outcome) {
        String label = outcome.getClass().getSimpleName().toLowerCase(Locale.ROOT);
        mRegistry.counter(VERDICTS, "verdict", label).increment();
    }
}
