package org.boragethread.standins.upstream;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The content of upstream responses. It is a deterministic function of the stage's path, the
 * request and the input, so that a checker can compute the expected response of a whole pipeline.
 */
public final class StageOutput {

    private static final HexFormat HEX = HexFormat.of();
    private static final int TOKEN_HASH_BYTES = 6;
    private static final ThreadLocal<MessageDigest> SHA256 =
            ThreadLocal.withInitial(StageOutput::newDigest);

    private StageOutput() {}

    /** Returns the SHA-256 hash of the bytes, in hexadecimal. */
    public static String sha256Hex(byte[] bytes) {
        return HEX.formatHex(SHA256.get().digest(bytes));
    }

    /**
     * Returns the result of a plain stage.
     *
     * @param minBytes minimum size of the result; shorter ones are padded
     */
    public static byte[] plainResult(String path, String requestId, byte[] input, int minBytes) {
        String inputHash = inputHash(path, requestId, input);
        StringBuilder result = new StringBuilder();
        result.append("{\"stage\":\"").append(path);
        result.append("\",\"request\":\"").append(requestId);
        result.append("\",\"chain\":\"").append(inputHash).append("\",\"pad\":\"");
        int suffixLength = "\"}".length();
        while (result.length() + suffixLength < minBytes) {
            int missing = minBytes - suffixLength - result.length();
            result.append(inputHash, 0, Math.min(inputHash.length(), missing));
        }
        return result.append("\"}").toString().getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Returns the tokens of an engine's stream.
     *
     * @param count number of tokens
     */
    public static String[] tokens(String path, String requestId, byte[] input, int count) {
        String inputHash = inputHash(path, requestId, input);
        String[] tokens = new String[count];
        for (int i = 0; i < count; i++) {
            byte[] seed = (inputHash + i).getBytes(StandardCharsets.US_ASCII);
            byte[] hash = SHA256.get().digest(seed);
            tokens[i] = "t" + i + "-" + HEX.formatHex(hash, 0, TOKEN_HASH_BYTES);
        }
        return tokens;
    }

    private static String inputHash(String path, String requestId, byte[] input) {
        MessageDigest digest = SHA256.get();
        digest.update(path.getBytes(StandardCharsets.UTF_8));
        digest.update((byte) '\n');
        digest.update(requestId.getBytes(StandardCharsets.UTF_8));
        digest.update((byte) '\n');
        return HEX.formatHex(digest.digest(input));
    }

    private static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the runtime lacks SHA-256", e);
        }
    }
}
