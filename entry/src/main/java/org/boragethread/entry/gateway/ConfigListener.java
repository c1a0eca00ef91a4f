package org.boragethread.entry.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.boragethread.core.callback.Callbacks;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.follow.TopicListener;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.routing.RoutingConfig;
import org.boragethread.platform.store.ConfigDecoder;
import org.boragethread.platform.store.MalformedRecordException;
import org.boragethread.platform.store.OperatorKeys;

/** Applies the configuration and the evacuations that operators write to the store. */
final class ConfigListener implements TopicListener {

    /** Time in which operators' records that an older copy of the store lacks are written again. */
    private static final Duration REWRITE_TIME = Duration.ofMillis(2500);

    private final Gateway mGateway;
    private final DependencyLog mStoreLog;
    private final Set<DataCentreId> mKnownDataCentres = new HashSet<>();
    private final Set<DataCentreId> mEvacuatedInStore = new HashSet<>();
    private long mRewriteEndNanos;

    ConfigListener(Gateway gateway) {
        mGateway = gateway;
        mStoreLog = new DependencyLog(gateway.log(), "store-config");
        mRewriteEndNanos = gateway.time().nanoTime();
    }

    @Override
    public void onStoreRestored() {
        mRewriteEndNanos = mGateway.time().nanoTime() + REWRITE_TIME.toNanos();
    }

    @Override
    public void onSnapshot(Map<String, byte[]> values) {
        mEvacuatedInStore.clear();
        List<Runnable> steps = new ArrayList<>();
        values.forEach((key, value) -> steps.add(() -> onChange(key, Optional.of(value))));
        steps.add(this::endMissingEvacuations);
        // All evacuations apply, even if the configuration can't be; the lease ends then.
        Callbacks.forEach(steps, Runnable::run);
    }

    /** Ends the evacuations that the store does not have, once they would be written again. */
    private void endMissingEvacuations() {
        long remaining = mRewriteEndNanos - mGateway.time().nanoTime();
        if (remaining > 0) {
            mGateway.scheduler().schedule(Duration.ofNanos(remaining), this::endMissingEvacuations);
            return;
        }
        for (DataCentreId known : new HashSet<>(mKnownDataCentres)) {
            if (!mEvacuatedInStore.contains(known)) {
                applyEvacuation(known, false);
            }
        }
    }

    @Override
    public void onChange(String key, Optional<byte[]> value) {
        if (key.equals(OperatorKeys.CONFIG)) {
            value.ifPresent(this::applyConfig);
            return;
        }
        OperatorKeys.evacuatedDataCentre(key)
                .ifPresent(dataCentre -> applyEvacuation(dataCentre, value.isPresent()));
    }

    private void applyConfig(byte[] value) {
        try {
            RoutingConfig config = ConfigDecoder.decode(value);
            boolean applied = mGateway.routingTable().replace(config);
            mGateway.log()
                    .event("config")
                    .with("version", config.version())
                    .with("routes", config.routes().size())
                    .with("keys", config.keys().map(Map::size).orElse(0))
                    .with("outcome", applied ? "in-force" : "older-than-current")
                    .info();
            mGateway.placements().restore(DirectoryEngines.withLimitedMemory(mGateway));
        } catch (MalformedRecordException e) {
            mGateway.log()
                    .event("config")
                    .with("outcome", "unreadable")
                    .with("detail", e.getMessage())
                    .warn();
        }
    }

    private void applyEvacuation(DataCentreId dataCentre, boolean evacuated) {
        mKnownDataCentres.add(dataCentre);
        if (evacuated) {
            mEvacuatedInStore.add(dataCentre);
        } else {
            mEvacuatedInStore.remove(dataCentre);
        }
        if (mGateway.routingTable().setEvacuated(dataCentre, evacuated)) {
            mGateway.log()
                    .event("evacuation")
                    .with("dataCentre", dataCentre)
                    .with("outcome", evacuated ? "out" : "back")
                    .info();
        }
    }

    @Override
    public void onUpToDate(ClockReading moment) {
        boolean held = mGateway.lease().isHeld();
        mGateway.lease().renew(moment);
        if (!held && mGateway.lease().isHeld()) {
            mGateway.log().event("lease").with("outcome", "held").info();
        }
    }

    @Override
    public void onStoreUnavailable(String detail) {
        mStoreLog.lost(detail);
    }

    @Override
    public void onStoreAvailable() {
        mStoreLog.regained();
    }
}
