package org.boragethread.wire.frame;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.boragethread.core.config.Replication;
import org.boragethread.core.config.ReplicationResponse;
import org.boragethread.core.log.LogRecord;
import org.boragethread.wire.proto.ConfigDelta;
import org.boragethread.wire.proto.ConfigPull;
import org.boragethread.wire.proto.ConfigRecord;
import org.boragethread.wire.proto.ConfigSnapshot;
import org.boragethread.wire.proto.Frame;

/** Keeps the configuration of two connected processes equal. Confined to one connection. */
final class ConfigExchange {

    private final ConfigSource mSource;
    private final Replication.Receiver mReceiver;

    ConfigExchange(ConfigSource source) {
        mSource = source;
        mReceiver = source.replication().receiver();
    }

    /** Returns this process's revision plus 1, as frames carry it. */
    long revisionPlusOne() {
        return mSource.store().current().revision() + 1;
    }

    /** Returns the pull to send if the other side is ahead. */
    Optional<Frame.Builder> pullFor(long otherRevisionPlusOne) {
        return mReceiver
                .pullAfter(otherRevisionPlusOne - 1)
                .map(after -> ConfigPull.newBuilder().setAfterRevisionPlusOne(after + 1))
                .map(pull -> Frame.newBuilder().setConfigPull(pull));
    }

    /** Returns the frames that bring the other side up to date. */
    List<Frame.Builder> answer(ConfigPull pull) {
        List<Frame.Builder> frames = new ArrayList<>();
        Optional<ReplicationResponse> answer =
                mSource.replication().response(pull.getAfterRevisionPlusOne() - 1);
        if (answer.isPresent() && answer.get() instanceof ReplicationResponse.Delta delta) {
            frames.add(Frame.newBuilder().setConfigDelta(toWire(delta.delta())));
        }
        if (answer.isPresent() && answer.get() instanceof ReplicationResponse.Snapshot snapshot) {
            snapshot.parts()
                    .forEach(
                            part -> frames.add(Frame.newBuilder().setConfigSnapshot(toWire(part))));
        }
        return frames;
    }

    /** Applies records from the other side. */
    void accept(ConfigDelta delta) {
        List<LogRecord> records =
                delta.getRecordsList().stream().map(ConfigExchange::fromWire).toList();
        mReceiver.receive(
                new org.boragethread.core.config.ConfigDelta(
                        delta.getAfterRevisionPlusOne() - 1,
                        records,
                        delta.getRevisionPlusOne() - 1));
    }

    /**
     * Takes one part of a snapshot from the other side.
     *
     * @return whether the snapshot is now complete or has been given up
     */
    boolean accept(ConfigSnapshot part) {
        return mReceiver
                .receive(
                        new org.boragethread.core.config.ConfigSnapshotPart(
                                part.getRevisionPlusOne() - 1,
                                part.getPart(),
                                part.getParts(),
                                part.getData().toByteArray(),
                                part.getContentHash()))
                .isPresent();
    }

    private static ConfigDelta toWire(org.boragethread.core.config.ConfigDelta delta) {
        return ConfigDelta.newBuilder()
                .setAfterRevisionPlusOne(delta.baseRevision() + 1)
                .addAllRecords(delta.records().stream().map(ConfigExchange::toWire).toList())
                .setRevisionPlusOne(delta.revision() + 1)
                .build();
    }

    private static ConfigRecord toWire(LogRecord record) {
        return ConfigRecord.newBuilder()
                .setOffset(record.offset())
                .setId(record.id())
                .setData(bytes(record.data()))
                .setTimeMillis(record.timeMillis())
                .build();
    }

    private static LogRecord fromWire(ConfigRecord record) {
        return new LogRecord(
                record.getOffset(),
                record.getTimeMillis(),
                record.getId(),
                record.getData().toByteArray());
    }

    private static ConfigSnapshot toWire(org.boragethread.core.config.ConfigSnapshotPart part) {
        return ConfigSnapshot.newBuilder()
                .setRevisionPlusOne(part.revision() + 1)
                .setPart(part.part())
                .setParts(part.parts())
                .setData(bytes(part.data()))
                .setContentHash(part.contentHash())
                .build();
    }

    private static ByteString bytes(byte[] data) {
        return UnsafeByteOperations.unsafeWrap(data);
    }
}
