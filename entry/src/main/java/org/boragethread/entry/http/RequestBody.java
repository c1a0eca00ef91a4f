package org.boragethread.entry.http;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.glassfish.grizzly.http.io.NIOInputStream;
import org.glassfish.grizzly.http.server.Request;

/**
 * Reads the body of a request. The listener has already received it completely, or stopped reading
 * it because it was too large.
 */
final class RequestBody {

    private static final int BUFFER_BYTES = 8192;

    private RequestBody() {}

    static Either<Refusal, byte[]> read(Request request, int maxBytes) {
        NIOInputStream in = request.getNIOInputStream();
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(Math.max(1, in.readyData()));
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            while (in.isReady()) {
                int count = in.read(buffer);
                if (count < 0) {
                    break;
                }
                bytes.write(buffer, 0, count);
            }
        } catch (IOException e) {
            return Either.left(
                    Refusal.notRun(
                            RefusalReason.BAD_REQUEST,
                            "the request body was truncated: " + e.getMessage()));
        }
        if (!in.isFinished() || bytes.size() > maxBytes) {
            return Either.left(
                    Refusal.notRun(
                            RefusalReason.BODY_TOO_LARGE,
                            "the request body exceeds %d bytes".formatted(maxBytes)));
        }
        return Either.right(bytes.toByteArray());
    }
}
