package org.boragethread.core.config;

import io.vavr.control.Either;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.boragethread.model.config.Configuration;

/** Compresses a configuration and splits it into snapshot parts, and joins the parts again. */
public final class SnapshotFormat {

    /** Maximum size of an uncompressed configuration, in bytes. */
    public static final int MAX_CONTENT_BYTES = 64 * 1024 * 1024;

    private SnapshotFormat() {}

    /** Returns a configuration as snapshot parts of at most the given size. */
    public static List<ConfigSnapshotPart> split(Configuration configuration, int maxPartBytes) {
        byte[] content = ConfigCodec.writeConfiguration(configuration);
        long hash = ConfigCodec.hashOf(content);
        byte[] compressed = compress(content);
        int count = Math.max(1, (compressed.length + maxPartBytes - 1) / maxPartBytes);
        List<ConfigSnapshotPart> parts = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            int end = Math.min(compressed.length, (i + 1) * maxPartBytes);
            byte[] data = Arrays.copyOfRange(compressed, i * maxPartBytes, end);
            parts.add(new ConfigSnapshotPart(configuration.revision(), i, count, data, hash));
        }
        return parts;
    }

    /** Returns the configuration in a snapshot, given all its parts in order. */
    public static Either<ConfigError, Configuration> join(List<ConfigSnapshotPart> parts) {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        parts.forEach(p -> compressed.writeBytes(p.data()));
        byte[] content;
        try {
            content = decompress(compressed.toByteArray());
        } catch (IOException e) {
            return mismatch(parts, e.getMessage());
        }
        if (ConfigCodec.hashOf(content) != parts.get(0).contentHash()) {
            return mismatch(parts, "its hash does not match");
        }
        return ConfigCodec.readConfiguration(content)
                .filterOrElse(
                        c -> c.revision() == parts.get(0).revision(),
                        c -> error(parts, "it contains revision " + c.revision()));
    }

    private static byte[] compress(byte[] content) {
        ByteArrayOutputStream result = new ByteArrayOutputStream();
        try (GZIPOutputStream gzip = new GZIPOutputStream(result)) {
            gzip.write(content);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return result.toByteArray();
    }

    private static byte[] decompress(byte[] compressed) throws IOException {
        try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(compressed))) {
            byte[] content = gzip.readNBytes(MAX_CONTENT_BYTES);
            if (gzip.read() >= 0) {
                throw new IOException(
                        "its content is larger than %d bytes".formatted(MAX_CONTENT_BYTES));
            }
            return content;
        }
    }

    private static <T> Either<ConfigError, T> mismatch(
            List<ConfigSnapshotPart> parts, String cause) {
        return Either.left(error(parts, cause));
    }

    private static ConfigError error(List<ConfigSnapshotPart> parts, String cause) {
        return new ConfigError(
                ConfigError.Kind.HASH_MISMATCH,
                "the snapshot of revision %d is damaged: %s"
                        .formatted(parts.get(0).revision(), cause));
    }
}
