package org.boragethread.entry.http;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.glassfish.grizzly.http.io.NIOInputStream;
import org.glassfish.grizzly.http.server.Request;

/** Reads a request's body, which the listener has received whole or cut off as too long. */
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
                            RefusalReason.BAD_REQUEST, "the body was cut: " + e.getMessage()));
        }
        if (!in.isFinished() || bytes.size() > maxBytes) {
            return Either.left(
                    Refusal.notRun(
                            RefusalReason.BODY_TOO_LARGE,
                            "the body is longer than %d bytes".formatted(maxBytes)));
        }
        return Either.right(bytes.toByteArray());
    }
}
