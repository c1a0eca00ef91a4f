package org.boragethread.entry.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.boragethread.core.resume.StreamKey;
import org.boragethread.core.resume.StreamOrigin;
import org.boragethread.core.upstream.ChoiceRequest;
import org.boragethread.core.upstream.UpstreamDirectory;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.SoftwareVersion;
import org.boragethread.platform.store.PlatformHeaders;

/**
 * Keeps a resumable stream at the software version that began it, within one response and over the
 * attempts of its caller.
 */
final class StreamContinuation {

    private final Gateway mGateway;
    private final CallerRequest mRequest;
    private final RequestTrace mTrace;
    private GroupId mGroup;
    private Optional<StreamKey> mKey = Optional.empty();
    private Optional<StreamKey> mReplaced = Optional.empty();
    private Optional<SoftwareVersion> mVersion = Optional.empty();
    private Supplier<Optional<SoftwareVersion>> mBeginning = Optional::empty;
    private boolean mTakenUp;
    private boolean mBegun;
    private boolean mStopped;

    StreamContinuation(Gateway gateway, CallerRequest request, RequestTrace trace) {
        mGateway = gateway;
        mRequest = request;
        mTrace = trace;
    }

    /**
     * Finds out where the stream began if the caller takes one up.
     *
     * @param onReady called when the request may be sent
     * @param end ends the request if it must not be sent
     */
    void start(AdmittedRequest admitted, GroupId group, Runnable onReady, RequestEnd end) {
        mGroup = group;
        if (!admitted.route().resumable()) {
            onReady.run();
            return;
        }
        HttpHeaders headers = mRequest.headers();
        List<String> lastEvents = headers.getAll(PlatformHeaders.LAST_EVENT_ID);
        List<String> streams = headers.getAll(PlatformHeaders.RESUMES);
        if (lastEvents.size() > 1 || streams.size() > 1) {
            String detail = "more than one last event, or more than one stream to continue";
            end.fail(RefusalReason.BAD_REQUEST, detail, Duration.ZERO);
            return;
        }
        mTakenUp = lastEvents.stream().anyMatch(id -> !id.isBlank());
        long content = RequestFingerprint.ofContent(mRequest);
        Optional<StreamKey> named =
                streams.stream().findFirst().flatMap(id -> key(admitted, id.strip(), content));
        if (!mTakenUp) {
            mKey = key(admitted, mRequest.id(), content);
            mReplaced = named.filter(key -> !mKey.equals(Optional.of(key)));
            onReady.run();
            return;
        }
        mKey = named;
        if (mKey.isEmpty()) {
            onOrigin(Optional.empty(), onReady, end);
            return;
        }
        find(mKey.get(), endOfWait(), onReady, end);
    }

    /** Asks again while the entry that forwarded the stream is about to confirm its origin. */
    private void find(StreamKey key, long endNanos, Runnable onReady, RequestEnd end) {
        mGateway.streamOrigins()
                .find(
                        key,
                        origin -> {
                            boolean inTime = mGateway.time().nanoTime() < endNanos;
                            boolean isProvisional =
                                    origin.filter(StreamOrigin::provisional).isPresent();
                            if (!isProvisional || !inTime || mStopped) {
                                onOrigin(origin, onReady, end);
                                return;
                            }
                            mGateway.scheduler()
                                    .schedule(
                                            UpstreamSearch.INTERVAL,
                                            () -> find(key, endNanos, onReady, end));
                        });
    }

    private static Optional<StreamKey> key(
            AdmittedRequest admitted, String firstAttempt, long content) {
        return firstAttempt.isEmpty()
                ? Optional.empty()
                : Optional.of(StreamKey.of(admitted.team(), firstAttempt, content));
    }

    private void onOrigin(Optional<StreamOrigin> origin, Runnable onReady, RequestEnd end) {
        if (mStopped) {
            return;
        }
        mTrace.takenUp(origin);
        mVersion = origin.flatMap(known -> known.versionIn(mGroup));
        if (mVersion.isEmpty()) {
            String detail = "the software version that began the stream is not known";
            end.fail(RefusalReason.STREAM_VERSION_UNKNOWN, detail, RetryDelays.SHORT);
            return;
        }
        whenCertain(certain -> onDecided(certain, onReady, end));
    }

    private void onDecided(boolean certain, Runnable onReady, RequestEnd end) {
        if (mStopped) {
            return;
        }
        if (!certain) {
            String detail = "the software versions of the upstreams are not certain yet";
            end.fail(RefusalReason.STREAM_VERSION_UNKNOWN, detail, RetryDelays.SHORT);
            return;
        }
        onReady.run();
    }

    /**
     * Waits until the announcements can be trusted, after the start of this process or when it
     * stood still. There is no wait while the store cannot be read.
     *
     * @param callback is told whether they can
     */
    private void whenCertain(Consumer<Boolean> callback) {
        BooleanSupplier isHopeless = mGateway.directory()::isCutOff;
        await(this::areAnnouncementsCertain, isHopeless, endOfWait(), callback);
    }

    /**
     * Waits until all runs are known that began before this process did.
     *
     * @param callback is told whether they are
     */
    private void whenSettled(Consumer<Boolean> callback) {
        await(mGateway.directory()::isSettled, () -> false, endOfWait(), callback);
    }

    private boolean areAnnouncementsCertain() {
        UpstreamDirectory directory = mGateway.directory();
        return directory.isSettled() && !directory.isOutdated();
    }

    private long endOfWait() {
        return mGateway.time().nanoTime() + VersionWait.MAX_TIME.toNanos();
    }

    private void await(
            BooleanSupplier condition,
            BooleanSupplier isHopeless,
            long end,
            Consumer<Boolean> callback) {
        boolean holds = condition.getAsBoolean();
        if (holds || isHopeless.getAsBoolean() || mGateway.time().nanoTime() >= end) {
            callback.accept(holds);
            return;
        }
        mGateway.scheduler()
                .schedule(
                        UpstreamSearch.INTERVAL, () -> await(condition, isHopeless, end, callback));
    }

    /**
     * Ends the request and returns true if it continues a stream and no upstream of the group runs
     * the version that began it.
     */
    boolean isRefused(ChoiceRequest choice, RequestEnd end) {
        if (!mTakenUp || !mGateway.chooser().isGroupExhausted(choice)) {
            return false;
        }
        String detail =
                "no upstream of %s can continue a stream of software version %s"
                        .formatted(mGroup, mVersion.map(SoftwareVersion::value).orElse(""));
        end.fail(RefusalReason.STREAM_VERSION_UNAVAILABLE, detail, RetryDelays.SHORT);
        return true;
    }

    void stop() {
        mStopped = true;
    }

    /** Returns the version at which the request must run; empty for any. */
    Optional<SoftwareVersion> requiredVersion() {
        if (mVersion.isEmpty()) {
            mVersion = mBeginning.get();
        }
        return mVersion;
    }

    /** Returns whether the request continues a stream of an earlier attempt. */
    boolean isTakenUp() {
        return mTakenUp;
    }

    /** Returns whether the version that writes the next events matters. */
    boolean isFixed() {
        return mTakenUp || mBegun;
    }

    /** Returns whether the announced versions can be trusted, if they matter. */
    boolean isSettled() {
        return !isFixed() || areAnnouncementsCertain();
    }

    /** Returns whether any other upstream may continue the stream. */
    boolean canGoOn() {
        return !isFixed() || requiredVersion().isPresent();
    }

    /**
     * Returns whether the events of an upstream may follow those before.
     *
     * @param version version of its software; empty if it is not certain
     */
    boolean accepts(Optional<SoftwareVersion> version) {
        return !isFixed() || version.isPresent() && version.equals(requiredVersion());
    }

    /** Called before the first event of the response is forwarded; an attempt has received it. */
    void onBegin(UpstreamAttempt attempt) {
        mBegun = true;
        mVersion = attempt.softwareVersion();
        mBeginning = attempt::softwareVersion;
        if (attempt.isVersionPending()) {
            StreamOrigin provisional = new StreamOrigin(mGroup, attempt.announcedVersion(), true);
            mKey.ifPresent(key -> record(key, provisional));
        }
        recordWhenDecided(attempt, endOfWait());
        // A caller that goes on naming the stream that it gave up has events of this one.
        mReplaced.ifPresent(key -> record(key, new StreamOrigin(mGroup, Optional.empty())));
    }

    /**
     * Called when an upstream whose events were forwarded does not go on with the stream.
     *
     * @param version version of the software that wrote them; empty if it is not certain any more
     */
    void onInterrupted(Optional<SoftwareVersion> version) {
        if (mBegun) {
            mVersion = version;
            mBeginning = Optional::empty;
            whenSettled(settled -> record(settled ? version : Optional.empty()));
        }
    }

    private void recordWhenDecided(UpstreamAttempt attempt, long end) {
        if (!attempt.isVersionPending() || mGateway.time().nanoTime() >= end) {
            record(attempt.softwareVersion());
            return;
        }
        mGateway.scheduler()
                .schedule(UpstreamSearch.INTERVAL, () -> recordWhenDecided(attempt, end));
    }

    private void record(Optional<SoftwareVersion> version) {
        mKey.ifPresent(key -> record(key, new StreamOrigin(mGroup, version)));
    }

    private void record(StreamKey key, StreamOrigin origin) {
        mGateway.streamOrigins().record(key, origin);
    }
}
