package org.boragethread.entry.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.follow.TopicListener;
import org.boragethread.core.upstream.UpstreamDirectory;
import org.boragethread.model.Names;
import org.boragethread.model.routing.UpstreamAnnouncement;
import org.boragethread.model.upstream.SoftwareVersion;
import org.boragethread.model.upstream.UpstreamId;
import org.boragethread.platform.store.MalformedRecordException;
import org.boragethread.platform.store.UpstreamDecoder;

/** Keeps the upstream directory in sync with the announcements in the store. */
final class UpstreamListener implements TopicListener {

    private final Gateway mGateway;
    private final UpstreamDirectory mDirectory;
    private final DependencyLog mStoreLog;
    private final RecordApplier mRecords;
    private final Map<String, UpstreamAnnouncement> mKnownEntries = new HashMap<>();

    UpstreamListener(Gateway gateway) {
        mGateway = gateway;
        mDirectory = gateway.directory();
        mRecords = new RecordApplier(gateway, "upstream", this::apply);
        mStoreLog = new DependencyLog(gateway.log(), "store-upstreams");
    }

    @Override
    public void onStoreRestored() {
        mDirectory.onStoreRestored();
    }

    @Override
    public void onSnapshot(Map<String, byte[]> values) {
        mDirectory.retain(values.keySet());
        for (UpstreamAnnouncement known : mKnownEntries.values()) {
            if (!values.containsKey(known.id().value())) {
                mGateway.rollouts().onUpstreamsChanged(known.group());
            }
        }
        mKnownEntries.keySet().retainAll(values.keySet());
        mRecords.applyAll(values);
        mDirectory.onSnapshotApplied();
        mGateway.setUpstreamsKnown();
        mGateway.log().event("upstreams").with("known", mDirectory.size()).info();
    }

    @Override
    public void onChange(String key, Optional<byte[]> value) {
        mRecords.apply(key, value);
    }

    /** Applies a record. One that cannot be used names no upstream, as if it were removed. */
    private void apply(String key, Optional<byte[]> value) throws MalformedRecordException {
        boolean usable = false;
        try {
            if (value.isPresent()) {
                put(UpstreamDecoder.decode(key, value.get()));
                usable = true;
            }
        } finally {
            if (!usable) {
                remove(key);
            }
        }
    }

    private void remove(String key) {
        if (!Names.isValid(key)) {
            return;
        }
        mDirectory.remove(new UpstreamId(key));
        UpstreamAnnouncement known = mKnownEntries.remove(key);
        if (known != null) {
            mGateway.rollouts().onUpstreamsChanged(known.group());
            mGateway.log().event("upstream").with("id", key).with("outcome", "gone").info();
        }
    }

    private void put(UpstreamAnnouncement entry) {
        mDirectory.put(entry);
        mGateway.rateLimitSync().onAnnounced(entry.id());
        UpstreamAnnouncement previous = mKnownEntries.put(entry.id().value(), entry);
        boolean unchanged =
                previous != null
                        && previous.draining() == entry.draining()
                        && previous.isSameIncarnation(entry)
                        && previous.softwareVersion().equals(entry.softwareVersion());
        if (previous != null && !previous.group().equals(entry.group())) {
            mGateway.rollouts().onUpstreamsChanged(previous.group());
        }
        if (!unchanged) {
            mGateway.rollouts().onUpstreamsChanged(entry.group());
            mGateway.log()
                    .event("upstream")
                    .with("id", entry.id())
                    .with("group", entry.group())
                    .with("address", entry.address())
                    .with("dataCentre", entry.dataCentre())
                    .with("coldMs", entry.coldMillis())
                    .with("version", softwareVersion(entry))
                    .with("outcome", entry.draining() ? "leaving" : "in")
                    .info();
        }
    }

    private static String softwareVersion(UpstreamAnnouncement entry) {
        return entry.softwareVersion().map(SoftwareVersion::value).orElse("");
    }

    @Override
    public void onUpToDate(ClockReading moment) {
        boolean wasSettled = mDirectory.isSettled();
        mDirectory.onUpToDate(moment);
        mGateway.placementServer().onEnginesChanged();
        if (!wasSettled && mDirectory.isSettled()) {
            mGateway.log()
                    .event("upstreams")
                    .with("known", mDirectory.size())
                    .with("outcome", "settled")
                    .info();
        }
    }

    @Override
    public void onStoreUnavailable(String detail) {
        mDirectory.onStoreUnavailable();
        mStoreLog.lost(detail);
    }

    @Override
    public void onStoreAvailable() {
        mDirectory.onStoreAvailable();
        mStoreLog.regained();
    }
}
