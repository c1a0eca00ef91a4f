package org.boragethread.core.pipeline;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.ByteBuffer;
import org.boragethread.core.claim.ClaimRequest;

/** Creates the claim requests of non-idempotent stages. */
final class ClaimRequestFactory {

    private ClaimRequestFactory() {}

    /**
     * Creates the claim request for a stage. Equal keys, pipelines, stages and bodies give the same
     * claim.
     *
     * @param key key of the claim
     * @param stage index of the stage, from 0
     */
    static ClaimRequest create(PipelineRequest request, String key, int stage) {
        return new ClaimRequest(request.team().id(), key, bodyHash(request), request.id(), stage);
    }

    private static long bodyHash(PipelineRequest request) {
        ByteBuffer body = request.body().duplicate();
        byte[] bytes = new byte[body.remaining()];
        body.get(bytes);
        HashStream64 hash = Hashing.komihash5_0().hashStream();
        hash.putString(request.pipeline().id().value());
        hash.putByteArray(bytes);
        return hash.getAsLong();
    }
}
