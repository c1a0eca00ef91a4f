package org.boragethread.entry.gateway;

import java.util.List;
import org.boragethread.core.follow.StoreEra;
import org.boragethread.platform.store.StoreClient;
import org.boragethread.process.log.EventLog;

/** Logs and counts the eras of the store. */
final class StoreEraLog implements StoreClient.EraListener {

    private final EventLog mLog;
    private final GatewayMetrics mMetrics;

    StoreEraLog(EventLog log, GatewayMetrics metrics) {
        mLog = log;
        mMetrics = metrics;
    }

    @Override
    public void onEraChanged(StoreEra previous, StoreEra era) {
        if (previous.equals(StoreEra.UNKNOWN)) {
            mLog.event("store-era").with("outcome", "first").with("era", era.number()).info();
            return;
        }
        mMetrics.onStoreRestored();
        mLog.event("store-era")
                .with("outcome", era.number() > previous.number() ? "restored" : "fell")
                .with("previous", previous.number())
                .with("era", era.number())
                .warn();
    }

    @Override
    public void onEraMalformed(List<String> values) {
        mLog.event("store-era").with("outcome", "malformed").with("values", values).warn();
    }
}
