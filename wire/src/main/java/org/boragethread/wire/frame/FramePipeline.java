package org.boragethread.wire.frame;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.concurrent.TimeUnit;
import org.boragethread.wire.proto.Frame;

/**
 * Adds the handlers that convert between bytes and frames. Each message is preceded by a 4-byte
 * length and a CRC-32C checksum.
 */
public final class FramePipeline {

    private static final int MAX_FRAMES_PER_FLUSH = 64;
    private static final int LENGTH_BYTES = 4;
    private static final int FRAME_OVERHEAD_BYTES = 64 << 10;

    private FramePipeline() {}

    /** Adds the handlers to a pipeline; the caller adds its own handler after them. */
    public static void addTo(ChannelPipeline pipeline, WireSettings settings) {
        long idleNanos = settings.idleTimeout().toNanos();
        pipeline.addLast(new FlushConsolidationHandler(MAX_FRAMES_PER_FLUSH, true));
        pipeline.addLast(new IdleStateHandler(idleNanos, 0, 0, TimeUnit.NANOSECONDS));
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(
                        settings.maxFrameBytes() + FRAME_OVERHEAD_BYTES,
                        0,
                        LENGTH_BYTES,
                        0,
                        LENGTH_BYTES));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addLast(new ChecksumCodec());
        pipeline.addLast(new ProtobufDecoder(Frame.getDefaultInstance()));
        pipeline.addLast(new ProtobufEncoder());
    }
}
