package org.boragethread.wire.client;

import org.boragethread.core.dispatch.UpstreamLink;

/** Learns when connections to agents come and go. Called on event loops. */
public interface LinkListener {

    /** A connection is ready for calls. */
    void onUp(UpstreamLink link);

    /** A connection that was up has ended. */
    void onDown(UpstreamLink link);
}
