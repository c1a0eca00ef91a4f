package org.boragethread.wire.frame;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Secret key shared by the entries and agents of a deployment. It is never transmitted. */
public final class SharedKey {

    /** Minimum length of a key, in characters. */
    public static final int MIN_LENGTH = 16;

    private static final String ALGORITHM = "HmacSHA256";
    private static final int NONCE_BYTES = 16;
    private static final SecureRandom RANDOM = new SecureRandom();

    private final SecretKeySpec mKey;

    /**
     * Creates a key from its text in the settings.
     *
     * @throws IllegalArgumentException if the text is shorter than {@link #MIN_LENGTH}
     */
    public SharedKey(String text) {
        if (text.length() < MIN_LENGTH) {
            throw new IllegalArgumentException(
                    "shared key has %d characters: use at least %d"
                            .formatted(text.length(), MIN_LENGTH));
        }
        mKey = new SecretKeySpec(text.getBytes(StandardCharsets.UTF_8), ALGORITHM);
    }

    /** Returns a new random nonce for a handshake. */
    public static byte[] createNonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        return nonce;
    }

    /** Computes a proof of possession of the key for the side that generated the first nonce. */
    public byte[] computeProof(Role role, byte[] firstNonce, byte[] secondNonce) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(mKey);
            mac.update(role.name().getBytes(StandardCharsets.US_ASCII));
            mac.update(firstNonce);
            mac.update(secondNonce);
            return mac.doFinal();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(
                    ALGORITHM + " is not available in this Java runtime", e);
        }
    }

    /** Returns whether a received proof is valid. Compares in constant time. */
    public boolean verify(byte[] proof, Role role, byte[] firstNonce, byte[] secondNonce) {
        return MessageDigest.isEqual(proof, computeProof(role, firstNonce, secondNonce));
    }

    /** Side that computes a proof. It is part of the proof to prevent reflection attacks. */
    public enum Role {
        /** An entry. */
        ENTRY,
        /** An agent. */
        AGENT
    }
}
