package org.boragethread.wire.frame;

import java.util.List;
import org.boragethread.wire.proto.ConfigDelta;
import org.boragethread.wire.proto.ConfigPull;
import org.boragethread.wire.proto.ConfigSnapshot;
import org.boragethread.wire.proto.Frame;

/** Keeps the configuration of two connected processes equal. Safe for use by several threads. */
public interface ConfigExchange {

    /** Returns the revision that this process has, or -1. */
    long revision();

    /** Returns the frames that bring the other side up to date. */
    List<Frame.Builder> answer(ConfigPull pull);

    /** Takes records from the other side. */
    void accept(ConfigDelta delta);

    /**
     * Takes one part of a snapshot from the other side.
     *
     * @return whether the snapshot is now complete or given up
     */
    boolean accept(ConfigSnapshot part);
}
