package org.boragethread.core.stage;

import java.util.Collection;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;

/** Frees results that nothing needs any more. */
public interface ResultFreer {

    /** Frees results; a failure is only logged, as results are freed by time too. */
    void free(GroupId group, UpstreamId maker, Collection<String> handles);
}
