package org.boragethread.entry.gateway;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.boragethread.core.resume.StreamKey;
import org.boragethread.core.resume.StreamOrigin;
import org.boragethread.core.resume.StreamOriginPeers;
import org.boragethread.core.time.Scheduler;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.SoftwareVersion;
import org.boragethread.wire.http.BufferedResponse;
import org.boragethread.wire.http.CallFailure;
import org.boragethread.wire.http.HttpConnectionPool;
import org.boragethread.wire.proto.StreamBegun;
import org.boragethread.wire.proto.StreamOrigins;
import org.boragethread.wire.proto.StreamQuery;

/** Tells other entries where streams began, and asks them. */
final class StreamOriginClient implements StreamOriginPeers {

    static final String RECORD_PATH = "/stream-origins";
    static final String QUERY_PATH = "/stream-origin";

    /** A live entry responds at once; a caller waits for a query. */
    private static final Duration TIMEOUT = Duration.ofMillis(200);

    private static final int OK = 200;
    private static final int MAX_RESPONSE_BYTES = 64 << 10;

    /** Streams that wait for one entry to respond; more are not told to it. */
    private static final int MAX_WAITING = 1024;

    private final HttpConnectionPool mConnections;
    private final Scheduler mScheduler;
    private final Map<String, Outbox> mOutboxes = new HashMap<>();

    StreamOriginClient(HttpConnectionPool connections, Scheduler scheduler) {
        mConnections = connections;
        mScheduler = scheduler;
    }

    @Override
    public void record(String peer, StreamKey key, StreamOrigin origin, Runnable onFailure) {
        mOutboxes
                .computeIfAbsent(peer, Outbox::new)
                .add(new Message(encode(key, origin), onFailure));
    }

    @Override
    public void query(String peer, StreamKey key, Consumer<Optional<StreamOrigin>> callback) {
        StreamQuery query =
                StreamQuery.newBuilder().setKeyHigh(key.high()).setKeyLow(key.low()).build();
        BufferedResponse.fetch(
                mConnections,
                mScheduler,
                PeerClient.createCall(peer, QUERY_PATH, query),
                TIMEOUT,
                MAX_RESPONSE_BYTES,
                response -> callback.accept(decodeAnswer(response)));
    }

    private static Optional<StreamOrigin> decodeAnswer(
            Either<CallFailure, BufferedResponse> response) {
        if (!isSuccess(response)) {
            return Optional.empty();
        }
        try {
            StreamOrigins streams = StreamOrigins.parseFrom(response.get().body());
            return streams.getStreamsList().stream()
                    .findFirst()
                    .map(StreamOriginClient::decodeOrigin);
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static boolean isSuccess(Either<CallFailure, BufferedResponse> response) {
        return response.isRight() && response.get().status() == OK;
    }

    static StreamBegun encode(StreamKey key, StreamOrigin origin) {
        StreamBegun.Builder stream =
                StreamBegun.newBuilder()
                        .setKeyHigh(key.high())
                        .setKeyLow(key.low())
                        .setGroup(origin.group().value());
        String version = origin.version().map(SoftwareVersion::value).orElse("");
        if (origin.provisional()) {
            stream.setProvisionalVersion(version);
        } else {
            stream.setSoftwareVersion(version);
        }
        return stream.build();
    }

    static StreamKey decodeKey(StreamBegun stream) {
        return new StreamKey(stream.getKeyHigh(), stream.getKeyLow());
    }

    /**
     * Decodes the origin of a stream.
     *
     * @throws IllegalArgumentException if the message is malformed
     */
    static StreamOrigin decodeOrigin(StreamBegun stream) {
        boolean isProvisional = !stream.getProvisionalVersion().isEmpty();
        Optional<SoftwareVersion> version =
                Optional.of(
                                isProvisional
                                        ? stream.getProvisionalVersion()
                                        : stream.getSoftwareVersion())
                        .filter(text -> !text.isEmpty())
                        .map(SoftwareVersion::new);
        return new StreamOrigin(new GroupId(stream.getGroup()), version, isProvisional);
    }

    /** A stream that an entry is to remember. */
    private record Message(StreamBegun stream, Runnable onFailure) {}

    /** Sends one call at a time to an entry; streams that begin meanwhile share the next one. */
    private final class Outbox {

        private final String mPeer;
        private List<Message> mWaiting = new ArrayList<>();
        private boolean mSending;

        Outbox(String peer) {
            mPeer = peer;
        }

        void add(Message message) {
            if (mWaiting.size() >= MAX_WAITING) {
                message.onFailure().run();
                return;
            }
            mWaiting.add(message);
            if (!mSending) {
                send();
            }
        }

        private void send() {
            mSending = true;
            List<Message> sent = mWaiting;
            mWaiting = new ArrayList<>();
            StreamOrigins.Builder streams = StreamOrigins.newBuilder();
            sent.forEach(message -> streams.addStreams(message.stream()));
            BufferedResponse.fetch(
                    mConnections,
                    mScheduler,
                    PeerClient.createCall(mPeer, RECORD_PATH, streams.build()),
                    TIMEOUT,
                    MAX_RESPONSE_BYTES,
                    response -> onResponse(sent, response));
        }

        private void onResponse(
                List<Message> sent, Either<CallFailure, BufferedResponse> response) {
            mSending = false;
            if (!isSuccess(response)) {
                sent.forEach(message -> message.onFailure().run());
            }
            if (mSending) {
                return;
            }
            if (mWaiting.isEmpty()) {
                mOutboxes.remove(mPeer, this);
            } else {
                send();
            }
        }
    }
}
