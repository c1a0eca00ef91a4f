package org.boragethread.entry.serve;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.boragethread.core.claim.AgentQueryClient;
import org.boragethread.core.claim.ClaimService;
import org.boragethread.core.claim.ClaimSettings;
import org.boragethread.core.log.BatchingAppender;
import org.boragethread.core.metrics.ClaimMetrics;
import org.boragethread.core.record.LogRecordStore;
import org.boragethread.model.place.EntryId;

/** Follows the claim streams of an entry and applies them to its claim service. */
final class ClaimStreams {

    private final ClaimService mService;
    private final List<FollowedStream> mStreams = new ArrayList<>();

    ClaimStreams(
            LogAccess access,
            ClaimSettings settings,
            EntryId entry,
            AgentQueryClient agents,
            ClaimMetrics metrics) {
        Map<String, BatchingAppender> appenders = new HashMap<>();
        for (int i = 0; i < settings.partitions(); i++) {
            String name = ClaimSettings.streamName(i);
            appenders.put(name, FollowedStream.appender(access, name));
        }
        LogRecordStore log = new LogRecordStore(access.log(), appenders);
        mService =
                ClaimService.builder()
                        .entry(entry)
                        .settings(settings)
                        .sink(log)
                        .source(log)
                        .agents(agents)
                        .events(metrics)
                        .scheduler(access.scheduler())
                        .time(access.time())
                        .build();
        metrics.registerGauges(mService);
        for (int i = 0; i < settings.partitions(); i++) {
            String name = ClaimSettings.streamName(i);
            mStreams.add(
                    FollowedStream.of(access, name, appenders.get(name), mService.stateMachine(i)));
        }
    }

    void start() {
        mStreams.forEach(FollowedStream::start);
    }

    void stop() {
        mStreams.forEach(FollowedStream::stop);
    }

    ClaimService service() {
        return mService;
    }

    /** Tells whether each stream has been read to its end once or is failing. */
    boolean isCaughtUpOrFailing() {
        return mStreams.stream().allMatch(FollowedStream::isCaughtUpOrFailing);
    }
}
