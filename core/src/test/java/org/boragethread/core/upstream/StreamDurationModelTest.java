package org.boragethread.core.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.Test;

/** Tests {@link StreamDurationModel}. */
public class StreamDurationModelTest {

    private final StreamDurationModel mModel = new StreamDurationModel();

    // Guards against requests that are refused by a stop though nothing is known of their group.
    @Test
    public void nothingIsExpectedBeforeTheFirstResponse() {
        assertEquals(new StreamDurationModel().bound(), Duration.ZERO);
    }

    // Guards against a bound below what responses usually take, or far above it.
    @Test
    public void boundCoversUsualResponses() {
        for (int i = 0; i < 200; i++) {
            mModel.add(Duration.ofMillis(i % 2 == 0 ? 800 : 1200));
        }
        assertTrue(mModel.bound().toMillis() > 1200, mModel.bound().toString());
        assertTrue(mModel.bound().toMillis() < 2400, mModel.bound().toString());
    }
}
