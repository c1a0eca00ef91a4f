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

/** Splits a compressed configuration into parts and joins them again. */
public final class SnapshotFormat {

    /** Greatest size of an uncompressed configuration, in bytes. */
    public static final int MAX_CONTENT_BYTES = 64 * 1024 * 1024;

    private SnapshotFormat() {}

    /** Returns a configuration as parts of a bounded size. */
    public static List<ConfigSnapshot> split(Configuration configuration, int maxPartBytes) {
        byte[] content = ConfigCodec.writeConfiguration(configuration);
        long hash = ConfigCodec.hashOf(content);
        byte[] packed = compress(content);
        int count = Math.max(1, (packed.length + maxPartBytes - 1) / maxPartBytes);
        List<ConfigSnapshot> parts = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            int end = Math.min(packed.length, (i + 1) * maxPartBytes);
            byte[] data = Arrays.copyOfRange(packed, i * maxPartBytes, end);
            parts.add(new ConfigSnapshot(configuration.revision(), i, count, data, hash));
        }
        return parts;
    }

    /** Returns the configuration that all parts of one snapshot, in their order, hold. */
    public static Either<ConfigError, Configuration> join(List<ConfigSnapshot> parts) {
        ByteArrayOutputStream packed = new ByteArrayOutputStream();
        parts.forEach(p -> packed.writeBytes(p.data()));
        byte[] content;
        try {
            content = expand(packed.toByteArray());
        } catch (IOException e) {
            return mismatch(parts, e.getMessage());
        }
        if (ConfigCodec.hashOf(content) != parts.get(0).contentHash()) {
            return mismatch(parts, "its hash differs");
        }
        return ConfigCodec.readConfiguration(content)
                .filterOrElse(
                        c -> c.revision() == parts.get(0).revision(),
                        c -> error(parts, "it holds revision " + c.revision()));
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

    private static byte[] expand(byte[] packed) throws IOException {
        try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(packed))) {
            byte[] content = gzip.readNBytes(MAX_CONTENT_BYTES);
            if (gzip.read() >= 0) {
                throw new IOException("it is larger than %d bytes".formatted(MAX_CONTENT_BYTES));
            }
            return content;
        }
    }

    private static <T> Either<ConfigError, T> mismatch(List<ConfigSnapshot> parts, String cause) {
        return Either.left(error(parts, cause));
    }

    private static ConfigError error(List<ConfigSnapshot> parts, String cause) {
        return new ConfigError(
                ConfigError.Kind.HASH_MISMATCH,
                "the snapshot of revision %d is damaged, %s"
                        .formatted(parts.get(0).revision(), cause));
    }
}
