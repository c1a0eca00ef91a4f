package org.boragethread.core.quarantine;

import org.boragethread.model.upstream.GroupId;

/**
 * A part of prompts at the upstreams of one group; upstreams of another group may run it soundly.
 *
 * @param group group of the upstreams
 * @param part ID of the part
 */
public record Suspect(GroupId group, long part) {

    /** Returns the key as {@code group/hexadecimal ID}. */
    @Override
    public String toString() {
        return group.value() + "/" + Long.toHexString(part);
    }
}
