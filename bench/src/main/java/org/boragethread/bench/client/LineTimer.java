package org.boragethread.bench.client;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Flow;

/** Notes when each line of a streamed answer arrives. */
final class LineTimer implements Flow.Subscriber<String> {

    private static final String DATA = "data:";

    private final StringBuilder mText = new StringBuilder();
    private final List<Long> mTimes = new ArrayList<>();
    private final CompletableFuture<Void> mEnd = new CompletableFuture<>();

    @Override
    public void onSubscribe(Flow.Subscription subscription) {
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(String line) {
        if (line.startsWith(DATA)) {
            mTimes.add(System.nanoTime());
        }
        mText.append(line).append('\n');
    }

    @Override
    public void onError(Throwable cause) {
        mEnd.completeExceptionally(cause);
    }

    @Override
    public void onComplete() {
        mEnd.complete(null);
    }

    String text() {
        return mText.toString();
    }

    List<Long> times() {
        return List.copyOf(mTimes);
    }
}
