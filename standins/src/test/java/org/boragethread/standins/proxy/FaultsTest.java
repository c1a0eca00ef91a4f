package org.boragethread.standins.proxy;

import static org.testng.Assert.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests {@link Faults}. */
public class FaultsTest {

    /** Trickled chunks changed places if the thread paused before a timer was set. */
    @Test
    public void trickledBytesKeepTheirOrderAcrossPauses() throws Exception {
        PausingOutput output = new PausingOutput();
        String text = "0123456789abcdef";
        FaultFilter filter = Faults.trickle(2, Duration.ofMillis(1)).newFilter();
        filter.filter(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII), output);
        output.runTimers();
        assertEquals(output.mWritten.toString(), text);
    }

    /** Reads the clock for the third timer some intervals after the filter did. */
    private static final class PausingOutput implements FilterOutput {

        private static final int PAUSED_TIMER = 3;
        private static final long PAUSE_NANOS = Duration.ofMillis(20).toNanos();

        private final Map<Long, Runnable> mTimers = new TreeMap<>();
        private final StringBuilder mWritten = new StringBuilder();

        @Override
        public void schedule(long delay, TimeUnit unit, Runnable action) {
            long now = System.nanoTime();
            while (mTimers.size() + 1 == PAUSED_TIMER && System.nanoTime() - now < PAUSE_NANOS) {
                Thread.onSpinWait();
            }
            mTimers.put(System.nanoTime() + unit.toNanos(delay), action);
        }

        void runTimers() {
            mTimers.values().forEach(Runnable::run);
        }

        @Override
        public void write(ByteBuf bytes) {
            mWritten.append(bytes.toString(StandardCharsets.US_ASCII));
            bytes.release();
        }

        @Override
        public void end() {}

        @Override
        public void closeConnection() {}

        @Override
        public void resetConnection() {}
    }
}
