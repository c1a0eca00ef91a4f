package org.boragethread.wire.client;

import org.boragethread.core.dispatch.UpstreamLink;

/** Receives changes of connections to agents. Called on event loops. */
public interface LinkListener {

    /** Called when a connection is ready for calls. */
    void onUp(UpstreamLink link);

    /** Called when a connection that was ready is closed. */
    void onDown(UpstreamLink link);
}
