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

/**
 * Replicates the configuration between two connected processes. Confined to the event loop of one
 * connection.
 */
final class ConfigExchange {

    private final ConfigSource mSource;
    private final Replication.Receiver mReceiver;

    ConfigExchange(ConfigSource source) {
        mSource = source;
        mReceiver = source.replication().receiver();
    }

    /** Returns the configuration revision of this process plus 1, as sent in frames. */
    long revisionPlusOne() {
        return mSource.store().current().revision() + 1;
    }

    /** Returns the pull frame to send if the peer has a newer revision. */
    Optional<Frame.Builder> createPull(long peerRevisionPlusOne) {
        return mReceiver
                .pullAfter(peerRevisionPlusOne - 1)
                .map(after -> ConfigPull.newBuilder().setAfterRevisionPlusOne(after + 1))
                .map(pull -> Frame.newBuilder().setConfigPull(pull));
    }

    /** Returns the frames that bring the peer up to date. */
    List<Frame.Builder> respond(ConfigPull pull) {
        List<Frame.Builder> frames = new ArrayList<>();
        Optional<ReplicationResponse> response =
                mSource.replication().response(pull.getAfterRevisionPlusOne() - 1);
        if (response.isPresent() && response.get() instanceof ReplicationResponse.Delta delta) {
            frames.add(Frame.newBuilder().setConfigDelta(toProto(delta.delta())));
        }
        if (response.isPresent()
                && response.get() instanceof ReplicationResponse.Snapshot snapshot) {
            snapshot.parts()
                    .forEach(
                            part ->
                                    frames.add(
                                            Frame.newBuilder().setConfigSnapshot(toProto(part))));
        }
        return frames;
    }

    /** Applies records received from the peer. */
    void receive(ConfigDelta delta) {
        List<LogRecord> records =
                delta.getRecordsList().stream().map(ConfigExchange::fromProto).toList();
        mReceiver.receive(
                new org.boragethread.core.config.ConfigDelta(
                        delta.getAfterRevisionPlusOne() - 1,
                        records,
                        delta.getRevisionPlusOne() - 1));
    }

    /**
     * Processes one part of a snapshot received from the peer.
     *
     * @return whether the transfer has ended, because the snapshot is complete or was abandoned
     */
    boolean receive(ConfigSnapshot part) {
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

    private static ConfigDelta toProto(org.boragethread.core.config.ConfigDelta delta) {
        return ConfigDelta.newBuilder()
                .setAfterRevisionPlusOne(delta.baseRevision() + 1)
                .addAllRecords(delta.records().stream().map(ConfigExchange::toProto).toList())
                .setRevisionPlusOne(delta.revision() + 1)
                .build();
    }

    private static ConfigRecord toProto(LogRecord record) {
        return ConfigRecord.newBuilder()
                .setOffset(record.offset())
                .setId(record.id())
                .setData(bytes(record.data()))
                .setTimeMillis(record.timeMillis())
                .build();
    }

    private static LogRecord fromProto(ConfigRecord record) {
        return new LogRecord(
                record.getOffset(),
                record.getTimeMillis(),
                record.getId(),
                record.getData().toByteArray());
    }

    private static ConfigSnapshot toProto(org.boragethread.core.config.ConfigSnapshotPart part) {
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
