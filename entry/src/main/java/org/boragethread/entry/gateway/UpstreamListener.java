package org.boragethread.entry.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.follow.TopicListener;
import org.boragethread.model.Names;
import org.boragethread.model.routing.UpstreamAnnouncement;
import org.boragethread.model.upstream.SoftwareVersion;
import org.boragethread.model.upstream.UpstreamId;
import org.boragethread.platform.store.MalformedRecordException;
import org.boragethread.platform.store.UpstreamDecoder;

/** Keeps the upstream directory in sync with the announcements in the store. */
final class UpstreamListener implements TopicListener {

    private final Gateway mGateway;
    private final DependencyLog mStoreLog;
    private final Map<String, UpstreamAnnouncement> mKnownEntries = new HashMap<>();

    UpstreamListener(Gateway gateway) {
        mGateway = gateway;
        mStoreLog = new DependencyLog(gateway.log(), "store-upstreams");
    }

    @Override
    public void onStoreRestored() {
        mGateway.directory().onStoreRestored();
    }

    @Override
    public void onSnapshot(Map<String, byte[]> values) {
        List<UpstreamAnnouncement> entries = new ArrayList<>();
        values.forEach((key, value) -> decode(key, value).ifPresent(entries::add));
        mGateway.directory().replaceAll(entries);
        entries.forEach(entry -> mGateway.rateLimitSync().onAnnounced(entry.id()));
        mKnownEntries.clear();
        entries.forEach(entry -> mKnownEntries.put(entry.id().value(), entry));
        mGateway.setUpstreamsKnown();
        mGateway.log().event("upstreams").with("known", mGateway.directory().size()).info();
    }

    @Override
    public void onChange(String key, Optional<byte[]> value) {
        if (value.isEmpty()) {
            remove(key);
            return;
        }
        decode(key, value.get()).ifPresent(this::put);
    }

    private void remove(String key) {
        if (!Names.isValid(key)) {
            return;
        }
        mGateway.directory().remove(new UpstreamId(key));
        if (mKnownEntries.remove(key) != null) {
            mGateway.log().event("upstream").with("id", key).with("outcome", "gone").info();
        }
    }

    private void put(UpstreamAnnouncement entry) {
        mGateway.directory().put(entry);
        mGateway.rateLimitSync().onAnnounced(entry.id());
        UpstreamAnnouncement previous = mKnownEntries.put(entry.id().value(), entry);
        boolean unchanged =
                previous != null
                        && previous.draining() == entry.draining()
                        && previous.isSameIncarnation(entry)
                        && previous.softwareVersion().equals(entry.softwareVersion());
        if (!unchanged) {
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

    private Optional<UpstreamAnnouncement> decode(String key, byte[] value) {
        try {
            return Optional.of(UpstreamDecoder.decode(key, value));
        } catch (MalformedRecordException e) {
            mGateway.log()
                    .event("upstream")
                    .with("id", key)
                    .with("outcome", "unreadable")
                    .with("detail", e.getMessage())
                    .info();
            return Optional.empty();
        }
    }

    @Override
    public void onUpToDate(ClockReading moment) {
        boolean wasSettled = mGateway.directory().isSettled();
        mGateway.directory().onUpToDate(moment.nanos());
        if (!wasSettled && mGateway.directory().isSettled()) {
            mGateway.log()
                    .event("upstreams")
                    .with("known", mGateway.directory().size())
                    .with("outcome", "settled")
                    .info();
        }
    }

    @Override
    public void onStoreUnavailable(String detail) {
        mGateway.directory().onStoreUnavailable();
        mStoreLog.lost(detail);
    }

    @Override
    public void onStoreAvailable() {
        mGateway.directory().onStoreAvailable();
        mStoreLog.regained();
    }
}
