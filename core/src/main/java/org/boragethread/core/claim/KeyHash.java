package org.boragethread.core.claim;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import org.boragethread.model.team.TeamId;

/**
 * The first 128 bits of the SHA-256 hash of a team and its idempotency key. The hash is
 * cryptographic so that no caller can construct a key that collides with a key of another team.
 *
 * @param high first 64 bits
 * @param low next 64 bits
 */
public record KeyHash(long high, long low) {

    private static final byte SEPARATOR = 0;

    /** Hashes a team's key. */
    public static KeyHash of(TeamId team, String key) {
        MessageDigest digest = sha256();
        digest.update(team.value().getBytes(StandardCharsets.UTF_8));
        digest.update(SEPARATOR);
        digest.update(key.getBytes(StandardCharsets.UTF_8));
        ByteBuffer hash = ByteBuffer.wrap(digest.digest());
        return new KeyHash(hash.getLong(), hash.getLong());
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java runtime lacks SHA-256", e);
        }
    }

    /** Returns the partition of this key, from 0 to {@code partitions - 1}. */
    public int partition(int partitions) {
        return (int) Long.remainderUnsigned(high, partitions);
    }
}
