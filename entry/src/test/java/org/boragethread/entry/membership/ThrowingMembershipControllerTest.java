package org.boragethread.entry.membership;

import static org.testng.Assert.assertEquals;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.boragethread.core.log.LogError;
import org.boragethread.core.log.VmList;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.place.Vm;
import org.boragethread.model.place.VmId;
import org.boragethread.model.place.VmState;
import org.boragethread.wire.client.AgentConnector;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link MembershipController} when a callback throws. */
public class ThrowingMembershipControllerTest {

    private static final Duration INTERVAL = Duration.ofSeconds(1);

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final Set<Integer> mConnected = new TreeSet<>();
    private Failure mFailure;

    /** What throws. */
    public enum Failure {
        NONE,
        REQUEST,
        RESPONSE,
        CONNECTOR
    }

    @BeforeMethod
    public void clear() {
        mConnected.clear();
        mFailure = Failure.NONE;
    }

    private CompletableFuture<Either<LogError, VmList>> fetch() {
        if (mFailure == Failure.REQUEST) {
            throw new IllegalStateException("request");
        }
        if (mFailure == Failure.RESPONSE) {
            return CompletableFuture.completedFuture(null);
        }
        Vm vm = new Vm(new VmId("vm"), "127.0.0.1", 7, new DataCentreId("north"), VmState.LIVE);
        VmList list = new VmList(Instant.EPOCH, List.of(vm));
        return CompletableFuture.completedFuture(Either.right(list));
    }

    private AgentConnector connect(InetSocketAddress address) {
        if (mFailure == Failure.NONE) {
            mConnected.add(address.getPort());
        }
        throw new IllegalStateException("connector");
    }

    /** Returns what throws for a while. */
    @DataProvider
    public Object[][] failures() {
        return new Object[][] {{Failure.REQUEST}, {Failure.RESPONSE}, {Failure.CONNECTOR}};
    }

    // Guards against an entry that never learns of new VMs because one list could not be applied.
    @Test(dataProvider = "failures")
    public void listIsFetchedAgainAfterAFailure(Failure failure) {
        MembershipController controller =
                new MembershipController(this::fetch, this::connect, mTime, INTERVAL);
        mFailure = failure;
        try {
            controller.start();
        } catch (IllegalStateException ignored) {
            // Its consequences are checked.
        }
        mFailure = Failure.NONE;
        mTime.advance(INTERVAL.multipliedBy(3));
        controller.close();
        assertEquals(mConnected, Set.of(7));
    }
}
