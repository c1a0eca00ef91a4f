package org.boragethread.core.resume;

import java.util.Optional;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.SoftwareVersion;

/**
 * Where a stream began.
 *
 * @param group group of the upstream that wrote its first event
 * @param version version of that upstream's software; empty if it is not certain
 * @param provisional whether the version is the announced one, but the announcement may be of an
 *     earlier run; the entry that forwards the stream will report what it finds
 */
public record StreamOrigin(GroupId group, Optional<SoftwareVersion> version, boolean provisional) {

    /** Creates an origin that is final. */
    public StreamOrigin(GroupId group, Optional<SoftwareVersion> version) {
        this(group, version, false);
    }

    /** Returns what two reports about one stream say together: nothing certain if they differ. */
    public StreamOrigin merge(StreamOrigin other) {
        boolean isSame = group.equals(other.group) && version.equals(other.version);
        return isSame
                ? new StreamOrigin(group, version, provisional || other.provisional)
                : new StreamOrigin(group, Optional.empty());
    }

    /** Returns the version at which the stream may go on in a group; empty if there is none. */
    public Optional<SoftwareVersion> versionIn(GroupId target) {
        return group.equals(target) && !provisional ? version : Optional.empty();
    }
}
