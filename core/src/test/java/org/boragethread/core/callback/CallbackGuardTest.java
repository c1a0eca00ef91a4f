package org.boragethread.core.callback;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link CallbackGuard}. */
public class CallbackGuardTest {

    private final List<String> mReports = new ArrayList<>();
    private final CallbackGuard mGuard =
            new CallbackGuard(cause -> mReports.add("process: " + cause.getMessage()));

    @BeforeMethod
    public void clearReports() {
        mReports.clear();
    }

    private void report(Throwable cause) {
        mReports.add("request: " + cause.getMessage());
    }

    private static void fail() {
        throw new IllegalStateException("broken");
    }

    // Guards against requests that wait for the end of a callback that threw.
    @Test
    public void ownerLearnsThatItsCallbackThrew() {
        assertFalse(mGuard.run(this::report, CallbackGuardTest::fail));
        assertEquals(mReports, List.of("request: broken"));
    }

    // Guards against timers of a request whose exceptions no request learns about.
    @Test
    public void callbackBoundByAnotherHasItsOwner() {
        List<Runnable> bound = new ArrayList<>();
        mGuard.run(this::report, () -> bound.add(mGuard.bind(CallbackGuardTest::fail)));
        bound.get(0).run();
        mGuard.bind(CallbackGuardTest::fail).run();
        assertEquals(mReports, List.of("request: broken", "process: broken"));
    }

    // Guards against an exception that is lost because its owner throws another one.
    @Test
    public void processLearnsThatAnOwnerThrew() {
        CallbackGuard.Owner owner =
                cause -> {
                    throw new IllegalArgumentException("owner");
                };
        assertFalse(mGuard.run(owner, CallbackGuardTest::fail));
        assertEquals(mReports, List.of("process: owner"));
    }
}
