package org.boragethread.standins.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.locks.LockSupport;
import org.boragethread.standins.harness.Await;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the effect of each fault on a proxied connection. */
public final class FaultProxyTest {

    private static final int READ_TIMEOUT_MS = 10_000;
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private EchoServer mEcho;
    private FaultProxy mProxy;
    private byte[] mSent;

    @BeforeMethod
    public void start() throws IOException {
        mEcho = new EchoServer();
        mProxy = FaultProxy.start(mEcho.address(), 7);
        mSent = new byte[20_000];
        new Random(7).nextBytes(mSent);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        mProxy.close();
        mEcho.close();
    }

    @Test
    public void forwardsBytesAndEndOfStream() throws IOException {
        assertEquals(exchange(), mSent);
    }

    @Test
    public void cutEndsConnectionAfterBytes() throws IOException {
        mProxy.setFaults(new ConnectionFaults(Faults.none(), Faults.closeAfter(1000)));
        assertEquals(exchange(), Arrays.copyOf(mSent, 1000));
        assertEquals(mProxy.stats().closedByFault(), 1);
    }

    @Test
    public void resetBreaksConnection() {
        mProxy.setFaults(new ConnectionFaults(Faults.none(), Faults.resetAfter(0)));
        assertThrows(SocketException.class, this::exchange);
    }

    @Test
    public void halfCloseLeavesOtherDirectionOpen() throws IOException {
        mProxy.setFaults(new ConnectionFaults(Faults.halfCloseAfter(1000), Faults.none()));
        assertEquals(exchange(), Arrays.copyOf(mSent, 1000));
    }

    @Test
    public void blackHoleKeepsConnectionOpenWithoutBytes() throws IOException {
        mProxy.setFaults(new ConnectionFaults(Faults.none(), Faults.blackHoleAfter(1000)));
        try (Socket socket = connect()) {
            socket.getOutputStream().write(mSent);
            assertEquals(socket.getInputStream().readNBytes(1000).length, 1000);
            socket.setSoTimeout(100);
            assertThrows(SocketTimeoutException.class, () -> socket.getInputStream().read());
        }
    }

    @Test
    public void delayKeepsOrder() throws IOException {
        mProxy.setFaults(ConnectionFaults.both(Faults.delay(Duration.ofMillis(50))));
        long start = System.nanoTime();
        assertEquals(exchange(), mSent);
        assertTrue(System.nanoTime() - start >= Duration.ofMillis(100).toNanos());
    }

    @Test
    public void trickleKeepsBytesAndTakesTime() throws IOException {
        Fault trickle = Faults.trickle(1000, Duration.ofMillis(5));
        mProxy.setFaults(new ConnectionFaults(Faults.none(), trickle));
        long start = System.nanoTime();
        assertEquals(exchange(), mSent);
        assertTrue(System.nanoTime() - start >= Duration.ofMillis(100).toNanos());
    }

    @Test
    public void trickleKeepsOrderOfManySmallWrites() throws IOException {
        mProxy.setFaults(ConnectionFaults.both(Faults.trickle(64, Duration.ofMillis(1))));
        byte[] received = new byte[2000];
        try (Socket socket = connect()) {
            socket.setTcpNoDelay(true);
            for (int i = 0; i < received.length; i += 10) {
                socket.getOutputStream().write(mSent, i, 10);
                LockSupport.parkNanos(Duration.ofNanos(300_000).toNanos());
            }
            int length = socket.getInputStream().readNBytes(received, 0, received.length);
            assertEquals(length, received.length);
        }
        assertEquals(received, Arrays.copyOf(mSent, received.length));
    }

    @Test
    public void corruptChangesOneByte() throws IOException {
        mProxy.setFaults(new ConnectionFaults(Faults.none(), Faults.corruptAt(9)));
        byte[] received = exchange();
        assertNotEquals(received[9], mSent[9]);
        received[9] = mSent[9];
        assertEquals(received, mSent);
    }

    @Test
    public void planGivesEachConnectionItsOwnFault() throws IOException {
        Fault cut = Faults.closeAfter(10);
        mProxy.setFaultPlan(
                random ->
                        random.nextBoolean()
                                ? ConnectionFaults.NONE
                                : new ConnectionFaults(Faults.none(), cut));
        int complete = 0;
        for (int i = 0; i < 20; i++) {
            complete += exchange().length == mSent.length ? 1 : 0;
        }
        assertTrue(complete > 2 && complete < 18, "complete answers: " + complete);
    }

    @Test
    public void faultIsSwitchedOnOpenConnection() throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(1);
            assertEquals(socket.getInputStream().read(), 1);
            mProxy.setFaults(ConnectionFaults.both(Faults.closeAfter(0)));
            socket.getOutputStream().write(2);
            assertEquals(socket.getInputStream().read(), -1);
        }
    }

    @Test
    public void cutAllClosesOpenConnections() throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(1);
            assertEquals(socket.getInputStream().read(), 1);
            mProxy.closeConnections();
            assertEquals(socket.getInputStream().read(), -1);
        }
        Await.until(
                "the proxy has removed the connection",
                TIMEOUT,
                () -> mProxy.openConnections() == 0);
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", mProxy.port());
        socket.setSoTimeout(READ_TIMEOUT_MS);
        return socket;
    }

    private byte[] exchange() throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(mSent);
            socket.shutdownOutput();
            return socket.getInputStream().readAllBytes();
        }
    }
}
