package org.boragethread.entry.gateway;

import io.netty.buffer.ByteBuf;
import java.util.Optional;
import org.boragethread.core.upstream.UpstreamNode;

/**
 * A second attempt beside the one of a silent upstream. Until it takes over the response, nothing
 * that happens to it concerns the caller.
 */
final class StandbyAttempt implements AttemptListener {

    private static final int SERVER_ERROR = 500;

    private final Owner mOwner;
    private final AttemptListener mResponse;
    private final Optional<String> mLastEvent;
    private final UpstreamAttempt mAttempt;
    private boolean mInCharge;

    /** Decides whether the attempt goes on with the response. */
    interface Owner {

        /** The head of a successful response arrived; the attempt may take over the response. */
        void onStandbyHead();

        /** The upstream responds; the attempt must take over the response or be cancelled. */
        void onStandbyResponds();

        /** The upstream did not execute the request. */
        void onStandbyRejected(int status);

        /** The request was not sent. */
        void onStandbyNotSent(UnsentAttempt unsent);

        /** The attempt failed, or its upstream responded with an error. */
        void onStandbyFailed();
    }

    /**
     * Creates an attempt that has not started.
     *
     * @param response receives the outcome once the attempt has taken over the response
     * @param lastEvent event after which the upstream continues the stream, if it does
     */
    StandbyAttempt(
            UpstreamNode node,
            AttemptSender sender,
            Owner owner,
            AttemptListener response,
            Optional<String> lastEvent) {
        mOwner = owner;
        mResponse = response;
        mLastEvent = lastEvent;
        mAttempt = sender.create(node, this);
    }

    UpstreamAttempt attempt() {
        return mAttempt;
    }

    Optional<String> lastEvent() {
        return mLastEvent;
    }

    /** Makes the attempt the one that responds to the caller. */
    void takeOver() {
        mInCharge = true;
    }

    @Override
    public void onNotExecuted(UpstreamNode node, int status) {
        if (mInCharge) {
            mResponse.onNotExecuted(node, status);
        } else {
            mOwner.onStandbyRejected(status);
        }
    }

    @Override
    public void onNotSent(UpstreamNode node, UnsentAttempt unsent) {
        if (mInCharge) {
            mResponse.onNotSent(node, unsent);
        } else {
            mOwner.onStandbyNotSent(unsent);
        }
    }

    @Override
    public void onSuccessHead() {
        if (mInCharge) {
            mResponse.onSuccessHead();
        } else {
            mOwner.onStandbyHead();
        }
    }

    @Override
    public void onBuffered() {
        if (mInCharge) {
            mResponse.onBuffered();
        }
    }

    @Override
    public void onFailed(UpstreamNode node, String detail) {
        if (mInCharge) {
            mResponse.onFailed(node, detail);
        } else {
            mOwner.onStandbyFailed();
        }
    }

    @Override
    public void onStreamBroken(UpstreamNode node, String detail) {
        mResponse.onStreamBroken(node, detail);
    }

    @Override
    public void onResponse(UpstreamNode node, int status, ByteBuf body) {
        if (!mInCharge && status < SERVER_ERROR) {
            mOwner.onStandbyResponds();
        }
        if (mInCharge) {
            mResponse.onResponse(node, status, body);
        } else if (status >= SERVER_ERROR) {
            mOwner.onStandbyFailed();
        }
    }

    @Override
    public void onStreamHead(UpstreamNode node, int status) {
        if (!mInCharge) {
            mOwner.onStandbyResponds();
        }
        if (mInCharge) {
            mResponse.onStreamHead(node, status);
        }
    }

    @Override
    public void onStreamData(ByteBuf data) {
        mResponse.onStreamData(data);
    }

    @Override
    public void onStreamEnd(UpstreamNode node) {
        mResponse.onStreamEnd(node);
    }
}
