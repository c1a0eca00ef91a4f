package org.boragethread.bench.capacity;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import org.boragethread.core.config.ConfigCodec;
import org.boragethread.core.config.ConfigRecord;
import org.boragethread.model.config.Configuration;
import org.boragethread.model.config.Plan;
import org.boragethread.wire.frame.FramePipeline;
import org.boragethread.wire.frame.SharedKey;
import org.boragethread.wire.frame.WireSettings;
import org.boragethread.wire.proto.ConfigDelta;
import org.boragethread.wire.proto.Frame;
import org.boragethread.wire.proto.Load;
import org.boragethread.wire.proto.LoadReport;
import org.boragethread.wire.proto.Ping;
import org.boragethread.wire.proto.Pong;

/**
 * Measures the encoded size of control frames between entries and agents, without TCP and IP
 * headers.
 */
final class FrameCosts {

    private static final long REVISION = 20_000L * 365;
    private static final int[] RECORDS = {1, 2, 4, 8, 16};

    void run() {
        Load load = Load.newBuilder().setInFlight(120).setLimit(200).setQueued(40).build();
        Ping ping = Ping.newBuilder().setToken(3_000_000).build();
        Pong pong = Pong.newBuilder().setToken(3_000_000).setLoad(load).build();
        print("ping", frame().setPing(ping).build());
        print("pong with load", frame().setPong(pong).build());
        LoadReport report = LoadReport.newBuilder().setLoad(load).build();
        print("load report", frame().setLoadReport(report).build());
        measureDelta();
    }

    private void measureDelta() {
        Configuration base = SampleConfigs.ofTeams(1000);
        Plan plan = SampleConfigs.plan(base, "intent-1", 1);
        byte[] data = ConfigCodec.writeRecord(new ConfigRecord.Confirmation(plan));
        LineFit fit = new LineFit();
        for (int records : RECORDS) {
            ConfigDelta.Builder delta =
                    ConfigDelta.newBuilder()
                            .setAfterRevisionPlusOne(REVISION)
                            .setRevisionPlusOne(REVISION + records);
            for (int i = 0; i < records; i++) {
                delta.addRecords(record(REVISION + i, "plan-" + plan.id(), data));
            }
            fit.add(records, encodedBytes(frame().setConfigDelta(delta).build()));
        }
        fit.print("delta", "records of one change", "bytes");
    }

    private static org.boragethread.wire.proto.ConfigRecord record(
            long offset, String id, byte[] data) {
        return org.boragethread.wire.proto.ConfigRecord.newBuilder()
                .setOffset(offset)
                .setId(id)
                .setData(ByteString.copyFrom(data))
                .setTimeMillis(System.currentTimeMillis())
                .build();
    }

    private static Frame.Builder frame() {
        return Frame.newBuilder().setConfigRevisionPlusOne(REVISION);
    }

    private static void print(String name, Frame frame) {
        System.out.printf("| %s | %d bytes | | |%n", name, encodedBytes(frame));
    }

    private static int encodedBytes(Frame frame) {
        EmbeddedChannel channel = new EmbeddedChannel();
        FramePipeline.addTo(
                channel.pipeline(), WireSettings.withKey(new SharedKey("0123456789abcdef")));
        channel.writeOutbound(frame);
        int bytes = 0;
        for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
            bytes += part.readableBytes();
            part.release();
        }
        channel.close();
        return bytes;
    }
}
