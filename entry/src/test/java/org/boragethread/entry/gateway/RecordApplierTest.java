package org.boragethread.entry.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.platform.store.MalformedRecordException;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link RecordApplier}. */
public class RecordApplierTest {

    private static final Map<String, byte[]> RECORDS =
            new TreeMap<>(Map.of("a", new byte[1], "bad", new byte[1], "c", new byte[1]));

    private final Set<String> mApplied = new TreeSet<>();
    private EventLoopGroup mLoops;
    private Gateway mGateway;

    @BeforeClass
    public void create() {
        mLoops = new NioEventLoopGroup(1);
        mGateway =
                new Gateway(
                        TestSettings.create(),
                        new ManualTimeSource(),
                        mLoops.next(),
                        new GatewayMetrics());
    }

    @AfterClass(alwaysRun = true)
    public void close() {
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @BeforeMethod
    public void clear() {
        mApplied.clear();
    }

    private RecordApplier failingAt(String badKey, Throwable cause) {
        return new RecordApplier(
                mGateway,
                "test",
                (key, value) -> {
                    if (key.equals(badKey)) {
                        throwUnchecked(cause);
                    }
                    mApplied.add(key);
                });
    }

    private static void throwUnchecked(Throwable cause) throws MalformedRecordException {
        if (cause instanceof MalformedRecordException malformed) {
            throw malformed;
        }
        if (cause instanceof Error error) {
            throw error;
        }
        throw (RuntimeException) cause;
    }

    @DataProvider
    private static Object[] causes() {
        return new Object[] {
            new MalformedRecordException("not a JSON object"),
            new ArithmeticException("long overflow"),
            new NullPointerException(),
        };
    }

    // Guards against records that are not applied because another one cannot be.
    @Test(dataProvider = "causes")
    public void allOtherRecordsAreApplied(Exception cause) {
        RecordApplier records = failingAt("bad", cause);
        records.applyAll(RECORDS);
        assertEquals(mApplied, Set.of("a", "c"));
        assertFalse(records.apply("bad", Optional.of(new byte[1])));
        assertFalse(records.apply("bad", Optional.empty()));
        assertTrue(records.apply("d", Optional.empty()));
    }

    // Guards against an error of the process that is taken for a record that cannot be used.
    @Test
    public void errorIsPassedOnAfterAllOtherRecordsWereApplied() {
        RecordApplier records = failingAt("bad", new StackOverflowError());
        assertThrows(StackOverflowError.class, () -> records.applyAll(RECORDS));
        assertEquals(mApplied, Set.of("a", "c"));
    }
}
