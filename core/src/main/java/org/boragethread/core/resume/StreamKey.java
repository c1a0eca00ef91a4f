package org.boragethread.core.resume;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Identifies a stream by its team, the ID of the attempt that received its first event and the
 * content that all its attempts have in common. The attempts of one team cannot name the streams of
 * another, and those of one request not the streams of another.
 *
 * @param high first half of a SHA-256 hash's first 128 bits
 * @param low second half of them
 */
public record StreamKey(long high, long low) {

    private static final String ALGORITHM = "SHA-256";

    /**
     * Returns the key of a stream.
     *
     * @param content hash of the content of the request
     */
    public static StreamKey of(String team, String firstAttempt, long content) {
        byte[] name = team.getBytes(StandardCharsets.UTF_8);
        MessageDigest digest = createDigest();
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, name.length));
        digest.update(name);
        digest.update(ByteBuffer.allocate(Long.BYTES).putLong(0, content));
        digest.update(firstAttempt.getBytes(StandardCharsets.UTF_8));
        ByteBuffer hash = ByteBuffer.wrap(digest.digest());
        return new StreamKey(hash.getLong(), hash.getLong());
    }

    private static MessageDigest createDigest() {
        try {
            return MessageDigest.getInstance(ALGORITHM);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
        }
    }
}
