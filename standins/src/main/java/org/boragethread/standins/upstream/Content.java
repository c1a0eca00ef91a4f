package org.boragethread.standins.upstream;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * What upstreams answer: a function of the stage's path, the request and the input, so that a
 * checker can work out the one right answer of a whole pipeline.
 */
public final class Content {

    private static final HexFormat HEX = HexFormat.of();
    private static final int TOKEN_HASH_BYTES = 6;
    private static final ThreadLocal<MessageDigest> SHA256 =
            ThreadLocal.withInitial(Content::newDigest);

    private Content() {}

    /** Returns the SHA-256 of some bytes, in hexadecimal. */
    public static String hash(byte[] bytes) {
        return HEX.formatHex(SHA256.get().digest(bytes));
    }

    /**
     * Returns the result of a plain stage.
     *
     * @param minBytes least size of the result; shorter ones are padded
     */
    public static byte[] plainResult(String path, String requestId, byte[] input, int minBytes) {
        String chain = chain(path, requestId, input);
        StringBuilder result = new StringBuilder();
        result.append("{\"stage\":\"").append(path);
        result.append("\",\"request\":\"").append(requestId);
        result.append("\",\"chain\":\"").append(chain).append("\",\"pad\":\"");
        int end = "\"}".length();
        while (result.length() + end < minBytes) {
            int missing = minBytes - end - result.length();
            result.append(chain, 0, Math.min(chain.length(), missing));
        }
        return result.append("\"}").toString().getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Returns the tokens of a stream.
     *
     * @param count number of tokens
     */
    public static String[] tokens(String path, String requestId, byte[] input, int count) {
        String chain = chain(path, requestId, input);
        String[] tokens = new String[count];
        for (int i = 0; i < count; i++) {
            byte[] seed = (chain + i).getBytes(StandardCharsets.US_ASCII);
            byte[] hash = SHA256.get().digest(seed);
            tokens[i] = "t" + i + "-" + HEX.formatHex(hash, 0, TOKEN_HASH_BYTES);
        }
        return tokens;
    }

    private static String chain(String path, String requestId, byte[] input) {
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
