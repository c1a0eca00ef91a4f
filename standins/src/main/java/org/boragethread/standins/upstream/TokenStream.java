package org.boragethread.standins.upstream;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.boragethread.standins.http.Answer;
import org.boragethread.standins.http.Exchange;

/** Streams the tokens of one call as server-sent events. */
final class TokenStream {

    private static final double CACHED_PREFIX_FACTOR = 0.3;
    private static final byte[] END = "event: end\ndata: end\n\n".getBytes(StandardCharsets.UTF_8);

    private final Upstream mUpstream;
    private final UpstreamSettings mSettings;
    private final Work mWork;
    private String[] mTokens = new String[0];
    private int mNext;
    private int mFailAt = -1;

    TokenStream(Upstream upstream, UpstreamSettings settings, Work work) {
        mUpstream = upstream;
        mSettings = settings;
        mWork = work;
    }

    /**
     * Starts the stream.
     *
     * @param fails whether the stream breaks at its middle
     */
    void start(boolean fails) {
        Exchange exchange = mWork.exchange();
        int count = mSettings.tokens();
        mTokens = Content.tokens(exchange.path(), mWork.requestId(), exchange.body(), count);
        long resumeFrom = exchange.headerLong("Resume-From", 0);
        mNext = (int) Math.max(0, Math.min(count, resumeFrom));
        boolean breaks = fails || mUpstream.chance(mUpstream.faults().halfAnswers());
        mFailAt = breaks ? mNext + (count - mNext) / 2 : -1;
        boolean cached = mUpstream.touchPrefix(exchange.body());
        double prefillMs = mUpstream.serviceMs() * (cached ? CACHED_PREFIX_FACTOR : 1);
        mUpstream.schedule(prefillMs, mWork, this::head);
    }

    private void head() {
        Answer head =
                new Answer(200, "text/event-stream", Map.of(), new byte[0])
                        .with("Request-Id", mWork.requestId());
        if (mWork.exchange().startStream(mUpstream.withLoad(head))) {
            step();
        }
    }

    private void step() {
        Exchange exchange = mWork.exchange();
        if (mNext == mFailAt) {
            mUpstream.fail(mWork);
            return;
        }
        if (mNext >= mTokens.length) {
            if (exchange.write(END) && exchange.finish()) {
                mUpstream.complete(mWork);
            }
            return;
        }
        String event = "data: " + mTokens[mNext] + "\n\n";
        mNext++;
        if (exchange.write(event.getBytes(StandardCharsets.UTF_8))) {
            double delayMs = mSettings.tokenMs() * mUpstream.stretch();
            mUpstream.schedule(delayMs, mWork, this::step);
        }
    }
}
