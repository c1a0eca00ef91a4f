package org.boragethread.bench.client;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Flow;

/** Records when each data line of a streamed response arrives. */
final class LineTimer implements Flow.Subscriber<String> {

    private static final String DATA = "data:";

    private final StringBuilder mText = new StringBuilder();
    private final List<Long> mArrivalNanos = new ArrayList<>();
    private final CompletableFuture<Void> mCompletion = new CompletableFuture<>();

    @Override
    public void onSubscribe(Flow.Subscription subscription) {
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(String line) {
        if (line.startsWith(DATA)) {
            mArrivalNanos.add(System.nanoTime());
        }
        mText.append(line).append('\n');
    }

    @Override
    public void onError(Throwable cause) {
        mCompletion.completeExceptionally(cause);
    }

    @Override
    public void onComplete() {
        mCompletion.complete(null);
    }

    String text() {
        return mText.toString();
    }

    List<Long> arrivalNanos() {
        return List.copyOf(mArrivalNanos);
    }
}
