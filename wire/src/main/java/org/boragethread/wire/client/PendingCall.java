package org.boragethread.wire.client;

import com.google.protobuf.ByteString;
import org.boragethread.core.dispatch.CallListener;
import org.boragethread.wire.proto.ResultChunk;
import org.boragethread.wire.proto.ResultEnd;

/** A call that awaits its response. Confined to the event loop of its connection. */
final class PendingCall {

    private final CallListener mListener;
    private int mChunks;
    private long mBytes;

    PendingCall(CallListener listener) {
        mListener = listener;
    }

    CallListener listener() {
        return mListener;
    }

    /** Counts a chunk; returns false if its sequence number is not the next one. */
    boolean acceptChunk(ResultChunk chunk) {
        if (chunk.getSequence() != mChunks) {
            return false;
        }
        mChunks++;
        ByteString data = chunk.getData();
        mBytes += data.size();
        return true;
    }

    /** Returns whether all chunks announced by the end frame have arrived. */
    boolean isComplete(ResultEnd end) {
        return end.getChunks() == mChunks && end.getBytes() == mBytes;
    }
}
