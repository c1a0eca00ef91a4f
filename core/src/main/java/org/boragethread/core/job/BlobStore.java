package org.boragethread.core.job;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.boragethread.core.record.RecordCodec;
import org.boragethread.core.record.RecordSink;
import org.boragethread.core.record.RecordSource;
import org.boragethread.model.job.JobId;
import org.boragethread.model.outcome.Refusal;

/** Stores bytes of any length in the job stream, split into records of bounded size. */
final class BlobStore {

    private static final byte[] EMPTY = new byte[0];

    private final RecordSink mSink;
    private final RecordSource mSource;
    private final Supplier<String> mIds;
    private final Duration mLimit;

    BlobStore(RecordSink sink, RecordSource source, Supplier<String> ids, Duration limit) {
        mLimit = limit;
        mSink = sink;
        mSource = source;
        mIds = ids;
    }

    /**
     * Prepares bytes for a record. Bytes that fit become the record's payload; larger ones are
     * appended as separate records first.
     *
     * @return the blob and payload for the record, or why the parts could not be appended
     */
    CompletableFuture<Either<Refusal, Prepared>> prepare(
            JobId job, String contentType, byte[] bytes) {
        if (bytes.length <= JobSettings.MAX_PAYLOAD_BYTES) {
            Blob blob = new Blob(contentType, List.of(), bytes.length);
            return CompletableFuture.completedFuture(Either.right(new Prepared(blob, bytes)));
        }
        return appendParts(job, contentType, bytes)
                .thenApply(blob -> blob.map(b -> new Prepared(b, EMPTY)));
    }

    /** Appends bytes as separate records. */
    CompletableFuture<Either<Refusal, Blob>> appendParts(
            JobId job, String contentType, byte[] bytes) {
        List<CompletableFuture<Either<Refusal, Long>>> appends = new ArrayList<>();
        int start = 0;
        do {
            int end = Math.min(bytes.length, start + JobSettings.MAX_PAYLOAD_BYTES);
            byte[] part = Arrays.copyOfRange(bytes, start, end);
            byte[] data = JobTable.CODEC.encode(new JobRecord.Part(job), part);
            appends.add(mSink.append(JobSettings.STREAM, mIds.get(), data, mLimit));
            start = end;
        } while (start < bytes.length);
        return CompletableFuture.allOf(appends.toArray(CompletableFuture[]::new))
                .thenApply(ignored -> toBlob(contentType, bytes.length, appends));
    }

    private static Either<Refusal, Blob> toBlob(
            String contentType,
            long length,
            List<CompletableFuture<Either<Refusal, Long>>> appends) {
        List<Long> offsets = new ArrayList<>();
        for (CompletableFuture<Either<Refusal, Long>> append : appends) {
            Either<Refusal, Long> offset = append.join();
            if (offset.isLeft()) {
                return Either.left(offset.getLeft());
            }
            offsets.add(offset.get());
        }
        return Either.right(new Blob(contentType, offsets, length));
    }

    /** Reads a blob; returns empty if the log is unavailable or a part is missing. */
    CompletableFuture<Optional<byte[]>> read(Blob blob) {
        if (blob.bytes() == 0) {
            return CompletableFuture.completedFuture(Optional.of(EMPTY));
        }
        List<CompletableFuture<Optional<byte[]>>> reads = new ArrayList<>();
        for (long offset : blob.parts()) {
            reads.add(mSource.read(JobSettings.STREAM, offset));
        }
        return CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new))
                .thenApply(ignored -> join(blob, reads));
    }

    private static Optional<byte[]> join(
            Blob blob, List<CompletableFuture<Optional<byte[]>>> reads) {
        ByteArrayOutputStream joined = new ByteArrayOutputStream((int) blob.bytes());
        for (CompletableFuture<Optional<byte[]>> read : reads) {
            Optional<byte[]> payload =
                    read.join().flatMap(JobTable.CODEC::decode).map(RecordCodec.Decoded::payload);
            if (payload.isEmpty()) {
                return Optional.empty();
            }
            joined.writeBytes(payload.get());
        }
        return joined.size() == blob.bytes() ? Optional.of(joined.toByteArray()) : Optional.empty();
    }

    /**
     * A blob that is ready to be written with a record.
     *
     * @param blob reference to the bytes, for the record's header
     * @param payload payload of the record
     */
    record Prepared(Blob blob, byte[] payload) {}
}
