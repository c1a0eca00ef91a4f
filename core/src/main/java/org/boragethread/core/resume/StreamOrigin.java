package org.boragethread.core.resume;

import java.util.Optional;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.SoftwareVersion;

/**
 * Where a stream began.
 *
 * @param group group of the upstream that wrote its first event
 * @param version version of that upstream's software; empty if it is not certain
 */
public record StreamOrigin(GroupId group, Optional<SoftwareVersion> version) {

    /** Returns what two reports about one stream say together: nothing certain if they differ. */
    public StreamOrigin merge(StreamOrigin other) {
        return equals(other) ? this : new StreamOrigin(group, Optional.empty());
    }

    /** Returns the version at which the stream may go on in a group; empty if there is none. */
    public Optional<SoftwareVersion> versionIn(GroupId target) {
        return group.equals(target) ? version : Optional.empty();
    }
}
