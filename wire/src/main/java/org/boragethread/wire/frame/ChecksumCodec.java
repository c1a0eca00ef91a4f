package org.boragethread.wire.frame;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.MessageToMessageCodec;
import java.util.List;
import java.util.zip.CRC32C;

/** Prepends a CRC-32C checksum to each message and rejects messages whose checksum differs. */
final class ChecksumCodec extends MessageToMessageCodec<ByteBuf, ByteBuf> {

    private static final int CHECKSUM_BYTES = 4;

    @Override
    protected void encode(ChannelHandlerContext context, ByteBuf message, List<Object> out) {
        ByteBuf checksum = context.alloc().buffer(CHECKSUM_BYTES);
        checksum.writeInt(computeChecksum(message));
        out.add(context.alloc().compositeBuffer(2).addComponents(true, checksum, message.retain()));
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf frame, List<Object> out) {
        if (frame.readableBytes() < CHECKSUM_BYTES) {
            throw new CorruptedFrameException("frame is shorter than the CRC-32C checksum");
        }
        int expected = frame.readInt();
        if (expected != computeChecksum(frame)) {
            throw new CorruptedFrameException("CRC-32C checksum of the frame does not match");
        }
        out.add(frame.readRetainedSlice(frame.readableBytes()));
    }

    private static int computeChecksum(ByteBuf bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes.nioBuffer());
        return (int) crc.getValue();
    }
}
