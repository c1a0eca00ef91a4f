package org.boragethread.core.follow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.boragethread.core.callback.Supervisors;
import org.boragethread.core.time.ManualTimeSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests writes of records to a topic that is slow or unavailable. */
public class RecordPublisherTest {

    private static final Duration RETRY_DELAY = Duration.ofMillis(200);

    private ManualTimeSource mTime;
    private List<List<KeyedRecord>> mWrites;
    private List<Consumer<Either<ReadFailure, Boolean>>> mCallbacks;
    private RecordPublisher mPublisher;

    @BeforeMethod
    public void create() {
        mTime = new ManualTimeSource();
        mWrites = new ArrayList<>();
        mCallbacks = new ArrayList<>();
        mPublisher =
                new RecordPublisher(
                        (records, callback) -> {
                            mWrites.add(records);
                            mCallbacks.add(callback);
                        },
                        mTime,
                        RETRY_DELAY,
                        Supervisors.rethrowing());
    }

    private void put(String key, int value) {
        mPublisher.put(key, Optional.of(new byte[] {(byte) value}));
    }

    private void finishWrite(boolean successful) {
        mCallbacks
                .remove(0)
                .accept(
                        successful
                                ? Either.right(true)
                                : Either.left(ReadFailure.unreachable("down")));
    }

    @Test
    public void valuesPutDuringAWriteAreWrittenTogether() {
        put("a", 1);
        put("b", 1);
        put("c", 1);
        assertEquals(mWrites.size(), 1);
        finishWrite(true);
        assertEquals(mWrites.get(1).stream().map(KeyedRecord::key).toList(), List.of("b", "c"));
        finishWrite(true);
        assertEquals(mWrites.size(), 2);
    }

    // Guards against a value that is lost because an older one of its key was being written.
    @Test
    public void valuePutDuringTheWriteOfItsKeyIsWrittenAfterwards() {
        put("a", 1);
        put("a", 2);
        finishWrite(true);
        assertEquals(mWrites.get(1).get(0).value().orElseThrow()[0], 2);
    }

    @Test
    public void failedWriteIsRepeatedWithTheNewestValue() {
        put("a", 1);
        finishWrite(false);
        put("a", 2);
        assertEquals(mWrites.size(), 1);
        mTime.advance(RETRY_DELAY);
        assertEquals(mWrites.get(1).get(0).value().orElseThrow()[0], 2);
        finishWrite(true);
        assertEquals(mWrites.size(), 2);
    }

    // Guards against memory that grows during a long outage of the store.
    @Test
    public void pendingValuesAreBoundedDuringAnOutage() {
        for (int i = 0; i < 5000; i++) {
            put("key-" + i, 1);
        }
        int written = 0;
        while (!mCallbacks.isEmpty()) {
            finishWrite(true);
            written += mWrites.get(mWrites.size() - 1).size();
        }
        assertTrue(written <= 1100, written + " records kept");
    }
}
