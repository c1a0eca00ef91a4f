package org.boragethread.standins.upstream;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.boragethread.standins.http.Exchange;
import org.boragethread.standins.http.StandInResponse;

/** Streams the tokens of one call as server-sent events. */
final class TokenStream {

    private static final double CACHED_PREFIX_FACTOR = 0.3;
    private static final byte[] END = "event: end\ndata: end\n\n".getBytes(StandardCharsets.UTF_8);

    private final Upstream mUpstream;
    private final UpstreamSettings mSettings;
    private final StageCall mCall;
    private String[] mTokens = new String[0];
    private int mNextIndex;
    private int mFailIndex = -1;

    TokenStream(Upstream upstream, UpstreamSettings settings, StageCall call) {
        mUpstream = upstream;
        mSettings = settings;
        mCall = call;
    }

    /**
     * Starts the stream.
     *
     * @param fails whether the stream breaks off halfway
     */
    void start(boolean fails) {
        Exchange exchange = mCall.exchange();
        int count = mSettings.tokens();
        mTokens = StageOutput.tokens(exchange.path(), mCall.requestId(), exchange.body(), count);
        long resumeFrom = exchange.headerLong("Resume-From", 0);
        mNextIndex = (int) Math.max(0, Math.min(count, resumeFrom));
        boolean breaksOff = fails || mUpstream.withProbability(mUpstream.faults().halfAnswers());
        mFailIndex = breaksOff ? mNextIndex + (count - mNextIndex) / 2 : -1;
        boolean cached = mUpstream.touchPrefix(exchange.body());
        double prefillMs = mUpstream.serviceMs() * (cached ? CACHED_PREFIX_FACTOR : 1);
        mUpstream.schedule(prefillMs, mCall, this::sendHead);
    }

    private void sendHead() {
        StandInResponse head =
                new StandInResponse(200, "text/event-stream", Map.of(), new byte[0])
                        .with("Request-Id", mCall.requestId());
        if (mCall.exchange().startStream(mUpstream.withLoad(head))) {
            sendNextToken();
        }
    }

    private void sendNextToken() {
        Exchange exchange = mCall.exchange();
        if (mNextIndex == mFailIndex) {
            mUpstream.fail(mCall);
            return;
        }
        if (mNextIndex >= mTokens.length) {
            if (exchange.write(END) && exchange.finishStream()) {
                mUpstream.complete(mCall);
            }
            return;
        }
        String event = "data: " + mTokens[mNextIndex] + "\n\n";
        mNextIndex++;
        if (exchange.write(event.getBytes(StandardCharsets.UTF_8))) {
            double delayMs = mSettings.tokenMs() * mUpstream.slowdownFactor();
            mUpstream.schedule(delayMs, mCall, this::sendNextToken);
        }
    }
}
