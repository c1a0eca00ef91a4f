package org.boragethread.entry.gateway;

import io.netty.buffer.ByteBuf;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import org.boragethread.platform.store.PlatformHeaders;

/**
 * Identifies requests that are the same to an upstream: of one team, with the same method, path,
 * query and body. Headers are left out, since their values change with each attempt of a caller. No
 * caller can find a request with the fingerprint of another team's request.
 */
final class RequestFingerprint {

    private static final String ALGORITHM = "SHA-256";

    private RequestFingerprint() {}

    /** Returns the fingerprint of a request that a team has sent. */
    static long of(CallerRequest request, String team) {
        MessageDigest digest = digest(request, team);
        return ByteBuffer.wrap(digest.digest()).getLong();
    }

    /** Returns the fingerprint of a request together with the parts of its prompt. */
    static long withPrompt(CallerRequest request, String team, String prompt) {
        MessageDigest digest = digest(request, team);
        add(digest, prompt);
        return ByteBuffer.wrap(digest.digest()).getLong();
    }

    /**
     * Returns the fingerprint of what all attempts at one stream have in common: the body and the
     * parts of the prompt. Path and query may differ.
     */
    static long ofContent(CallerRequest request) {
        MessageDigest digest = create();
        add(digest, request.headers().get(PlatformHeaders.PROMPT, ""));
        addBody(digest, request.body());
        return ByteBuffer.wrap(digest.digest()).getLong();
    }

    private static MessageDigest digest(CallerRequest request, String team) {
        MessageDigest digest = create();
        add(digest, request.method().name());
        add(digest, request.target());
        add(digest, team);
        addBody(digest, request.body());
        return digest;
    }

    private static void addBody(MessageDigest digest, ByteBuf body) {
        addLength(digest, body.readableBytes());
        for (ByteBuffer part : body.nioBuffers(body.readerIndex(), body.readableBytes())) {
            digest.update(part);
        }
    }

    private static MessageDigest create() {
        try {
            return MessageDigest.getInstance(ALGORITHM);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
        }
    }

    private static void add(MessageDigest digest, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        addLength(digest, bytes.length);
        digest.update(bytes);
    }

    /** Separates fields, so that no byte can move from one to the next. */
    private static void addLength(MessageDigest digest, int length) {
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, length));
    }
}
