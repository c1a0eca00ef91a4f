package org.boragethread.agent.upstream;

import com.google.protobuf.ByteString;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Records the response to a request, or its failure. */
final class ResponseRecorder implements UpstreamListener {

    private static final int WAIT_SECONDS = 10;

    private final CompletableFuture<String> mOutcome = new CompletableFuture<>();
    private final StringBuilder mText = new StringBuilder();

    /** Waits for the end; returns the status and the body, or 'failed' and what arrived. */
    String outcome() throws Exception {
        return mOutcome.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    public void onHead(UpstreamHead head) {
        mText.append(head.status()).append(' ');
    }

    @Override
    public boolean onData(ByteString data) {
        mText.append(data.toStringUtf8());
        return true;
    }

    @Override
    public boolean wantsMore() {
        return true;
    }

    @Override
    public void onEnd() {
        mOutcome.complete(mText.toString());
    }

    @Override
    public void onFailure(UpstreamFailure failure) {
        mOutcome.complete("failed " + mText + failure);
    }
}
