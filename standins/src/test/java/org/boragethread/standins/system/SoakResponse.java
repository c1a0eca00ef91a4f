package org.boragethread.standins.system;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** Sends an engine's response as its plan says. */
final class SoakResponse {

    private static final int EVENT_MILLIS = 40;

    private final Socket mConnection;
    private final ScriptedUpstream.Request mRequest;
    private final String mVersion;
    private final Plan mPlan;
    private boolean mBegun;

    /** What an engine does with a request. */
    enum Behaviour {
        NORMAL,
        FALL_SILENT,
        BREAK_OFF,
        REJECT
    }

    /**
     * How an engine responds.
     *
     * @param at event after which it falls silent or breaks off; 0 before the head
     * @param silenceMillis length of the silence
     */
    record Plan(Behaviour behaviour, int at, int silenceMillis) {}

    SoakResponse(Socket connection, ScriptedUpstream.Request request, String version, Plan plan) {
        mConnection = connection;
        mRequest = request;
        mVersion = version;
        mPlan = plan;
    }

    /**
     * Sends the response.
     *
     * @throws IOException if the gateway has closed the connection
     */
    SoakEngine.End send() throws IOException {
        if (mPlan.behaviour() == Behaviour.REJECT) {
            write(head("503 Full", "X-Boragethread-Not-Executed: 1\r\nContent-Length: 0\r\n"));
            return SoakEngine.End.REJECTED;
        }
        if (mPlan.at() == 0 && isBrokenOffOrSilent()) {
            return SoakEngine.End.NO_RESPONSE;
        }
        boolean streaming = SoakRoute.of(mRequest.path()).isStreaming();
        String type = streaming ? "text/event-stream" : "text/plain";
        write(
                head(
                        "200 OK",
                        "X-Boragethread-Response-Seal: seal\r\nContent-Type: "
                                + type
                                + "\r\nTransfer-Encoding: chunked\r\n"));
        int after = Integer.parseInt(mRequest.headers().getOrDefault("last-event-id", "0"));
        for (int event = after + 1; event <= SoakEngine.EVENTS; event++) {
            pause(streaming ? EVENT_MILLIS : 1);
            String text =
                    "id: %d\nevent: %s\ndata: %s\n\n".formatted(event, mRequest.id(), mVersion);
            write("%x\r\n%s\r\n".formatted(text.length(), text));
            mBegun = true;
            if (event == mPlan.at() && isBrokenOffOrSilent()) {
                return SoakEngine.End.BROKEN_OFF;
            }
        }
        write("0\r\n\r\n");
        return SoakEngine.End.WHOLE;
    }

    /** Returns how a response ends that its engine breaks off now. */
    SoakEngine.End endOfBroken() {
        return mBegun ? SoakEngine.End.BROKEN_OFF : SoakEngine.End.NO_RESPONSE;
    }

    /** Does what the plan says at its event; returns whether the response ends there. */
    private boolean isBrokenOffOrSilent() throws IOException {
        if (mPlan.behaviour() == Behaviour.FALL_SILENT) {
            pause(mPlan.silenceMillis());
        }
        return mPlan.behaviour() == Behaviour.BREAK_OFF;
    }

    private String head(String status, String headers) {
        return "HTTP/1.1 %s\r\nX-Boragethread-Request-Id: %s\r\n%s\r\n"
                .formatted(status, mRequest.id(), headers);
    }

    /** Waits for a time, or until the gateway closes the connection. */
    private void pause(int millis) throws IOException {
        mConnection.setSoTimeout(millis);
        try {
            int next = mConnection.getInputStream().read();
            throw new IOException(next < 0 ? "closed by the gateway" : "an unexpected byte");
        } catch (SocketTimeoutException expected) {
            // The gateway has kept the connection open all the while.
        }
    }

    private void write(String text) throws IOException {
        mConnection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        mConnection.getOutputStream().flush();
    }
}
