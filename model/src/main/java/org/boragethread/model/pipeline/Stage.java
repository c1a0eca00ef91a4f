package org.boragethread.model.pipeline;

import java.util.Objects;
import org.boragethread.model.upstream.GroupId;

/**
 * One step of a pipeline: a call to any upstream of a group.
 *
 * @param name name of the stage, unique within its pipeline
 * @param group group whose upstreams serve the stage
 * @param path HTTP path of the upstream that the agent sends POST requests to
 * @param idempotent whether the stage may run more than once for one request
 * @param streaming whether the upstream answers with server-sent events
 */
public record Stage(
        String name, GroupId group, String path, boolean idempotent, boolean streaming) {

    public Stage {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(path, "path");
        if (!path.startsWith("/")) {
            throw new IllegalArgumentException(
                    "stage \"%s\": path \"%s\" must start with '/'".formatted(name, path));
        }
    }
}
