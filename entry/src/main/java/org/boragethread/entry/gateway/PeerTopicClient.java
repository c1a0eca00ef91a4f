package org.boragethread.entry.gateway;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.boragethread.core.follow.KeyedRecord;
import org.boragethread.core.follow.ReadFailure;
import org.boragethread.core.follow.RecordPage;
import org.boragethread.core.follow.RelayClient;
import org.boragethread.core.follow.StoreEra;
import org.boragethread.core.follow.TopicRelay;
import org.boragethread.core.time.Scheduler;
import org.boragethread.process.log.EventLog;
import org.boragethread.wire.http.BufferedResponse;
import org.boragethread.wire.http.HttpConnectionPool;
import org.boragethread.wire.proto.TopicRead;
import org.boragethread.wire.proto.TopicRecord;
import org.boragethread.wire.proto.TopicUpdate;

/** Reads topics of the store from entries that relay them, and encodes what such an entry sends. */
final class PeerTopicClient implements RelayClient {

    static final String PATH = "/topics";

    private static final int OK = 200;

    /** More than all values of a topic; the store bounds a single one to 256 KiB. */
    private static final int MAX_RESPONSE_BYTES = 16 << 20;

    private final HttpConnectionPool mConnections;
    private final Scheduler mScheduler;
    private final EventLog mLog;

    PeerTopicClient(HttpConnectionPool connections, Scheduler scheduler, EventLog log) {
        mConnections = connections;
        mScheduler = scheduler;
        mLog = log;
    }

    @Override
    public void read(
            String relay,
            String topic,
            long offset,
            StoreEra era,
            long seenUpdate,
            Duration timeout,
            Consumer<Either<ReadFailure, TopicRelay.Update>> callback) {
        TopicRead read =
                TopicRead.newBuilder()
                        .setTopic(topic)
                        .setOffset(offset)
                        .setSeenUpdate(seenUpdate)
                        .setStoreEra(era.number())
                        .build();
        BufferedResponse.fetch(
                mConnections,
                mScheduler,
                PeerClient.createCall(relay, PATH, read),
                timeout,
                MAX_RESPONSE_BYTES,
                response -> {
                    Either<ReadFailure, TopicRelay.Update> update =
                            response.mapLeft(failure -> ReadFailure.unreachable(failure.detail()))
                                    .flatMap(PeerTopicClient::decode);
                    if (update.isLeft()) {
                        logFailure(relay, topic, update.getLeft());
                    }
                    callback.accept(update);
                });
    }

    private void logFailure(String relay, String topic, ReadFailure failure) {
        mLog.event("relay")
                .with("peer", relay)
                .with("topic", topic)
                .with("outcome", "passed-over")
                .with("detail", failure.detail())
                .info();
    }

    private static Either<ReadFailure, TopicRelay.Update> decode(BufferedResponse response) {
        if (response.status() != OK) {
            return Either.left(ReadFailure.unreachable("status " + response.status()));
        }
        try {
            TopicUpdate update = TopicUpdate.parseFrom(response.body());
            List<KeyedRecord> records = new ArrayList<>();
            for (TopicRecord record : update.getRecordsList()) {
                Optional<byte[]> value =
                        record.hasValue()
                                ? Optional.of(record.getValue().toByteArray())
                                : Optional.empty();
                records.add(new KeyedRecord(record.getOffset(), record.getKey(), value));
            }
            RecordPage page =
                    new RecordPage(
                            update.getNextOffset(),
                            update.getNextOffset(),
                            records,
                            Optional.of(Duration.ofNanos(update.getAgeNanos())),
                            new StoreEra(update.getStoreEra()));
            return Either.right(new TopicRelay.Update(update.getUpdate(), page));
        } catch (InvalidProtocolBufferException e) {
            return Either.left(ReadFailure.unreachable("invalid response: " + e.getMessage()));
        }
    }

    static TopicUpdate encode(TopicRelay.Update update) {
        RecordPage page = update.page();
        TopicUpdate.Builder message =
                TopicUpdate.newBuilder()
                        .setUpdate(update.update())
                        .setNextOffset(page.nextOffset())
                        .setStoreEra(page.era().number())
                        .setAgeNanos(page.relayAge().orElse(Duration.ZERO).toNanos());
        for (KeyedRecord record : page.records()) {
            TopicRecord.Builder encoded =
                    TopicRecord.newBuilder().setOffset(record.offset()).setKey(record.key());
            record.value().map(ByteString::copyFrom).ifPresent(encoded::setValue);
            message.addRecords(encoded);
        }
        return message.build();
    }
}
