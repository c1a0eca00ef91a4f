package org.boragethread.entry.membership;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragethread.core.log.LogError;
import org.boragethread.core.log.VmDirectory;
import org.boragethread.core.log.VmList;
import org.boragethread.core.time.Scheduler;
import org.boragethread.model.place.Vm;
import org.boragethread.model.place.VmId;
import org.boragethread.model.place.VmState;
import org.boragethread.wire.client.AgentConnector;

/**
 * Keeps a connector for each VM in the platform's list. A VM that is leaving or has gone from the
 * list gets no new calls; its connection stays until the other side ends it, so that running calls
 * end well. While the list cannot be read, the last one stands.
 */
public final class MembershipController {

    private static final Logger LOGGER = LogManager.getLogger(MembershipController.class);

    private final VmDirectory mDirectory;
    private final Function<InetSocketAddress, AgentConnector> mConnectors;
    private final Scheduler mScheduler;
    private final Duration mInterval;
    private final Map<VmId, Member> mMembers = new HashMap<>();
    private boolean mClosed;
    private Scheduler.Timer mTimer = () -> {};

    /**
     * Makes a controller.
     *
     * @param connectors makes a connector, not started, for an agent's address
     * @param interval time between readings of the list
     */
    public MembershipController(
            VmDirectory directory,
            Function<InetSocketAddress, AgentConnector> connectors,
            Scheduler scheduler,
            Duration interval) {
        mDirectory = Objects.requireNonNull(directory, "directory");
        mConnectors = Objects.requireNonNull(connectors, "connectors");
        mScheduler = Objects.requireNonNull(scheduler, "scheduler");
        mInterval = Objects.requireNonNull(interval, "interval");
    }

    /** Reads the list now, and again after each interval. */
    public void start() {
        mDirectory
                .fetch()
                .whenComplete(
                        (result, fault) -> {
                            if (fault == null) {
                                onResult(result);
                            }
                            scheduleNext();
                        });
    }

    private synchronized void scheduleNext() {
        if (!mClosed) {
            mTimer = mScheduler.schedule(mInterval, this::start);
        }
    }

    private void onResult(Either<LogError, VmList> result) {
        if (result.isLeft()) {
            LOGGER.warn("the VM list cannot be read: {}", result.getLeft().message());
            return;
        }
        apply(result.get());
    }

    /** Brings the connectors in line with a list. */
    synchronized void apply(VmList list) {
        if (mClosed) {
            return;
        }
        Set<VmId> listed = new HashSet<>();
        for (Vm vm : list.vms()) {
            listed.add(vm.id());
            update(vm);
        }
        for (Map.Entry<VmId, Member> entry : mMembers.entrySet()) {
            if (!listed.contains(entry.getKey())) {
                entry.getValue().connector().setRetired(true);
            }
        }
        mMembers.entrySet()
                .removeIf(
                        entry -> !listed.contains(entry.getKey()) && closeIfDown(entry.getValue()));
    }

    private static boolean closeIfDown(Member member) {
        if (member.connector().isUp()) {
            return false;
        }
        member.connector().close();
        return true;
    }

    private void update(Vm vm) {
        InetSocketAddress address = new InetSocketAddress(vm.host(), vm.port());
        Member member = mMembers.get(vm.id());
        if (member != null && !member.address().equals(address)) {
            member.connector().close();
            member = null;
        }
        if (member == null) {
            member = new Member(address, mConnectors.apply(address));
            mMembers.put(vm.id(), member);
            member.connector().start();
        }
        member.connector().setRetired(vm.state() == VmState.LEAVING);
    }

    /** Tells every connected agent this process's configuration revision. */
    public synchronized void announceRevision() {
        mMembers.values().forEach(member -> member.connector().announceRevision());
    }

    /** Ends all connections. */
    public synchronized void close() {
        mClosed = true;
        mTimer.cancel();
        mMembers.values().forEach(member -> member.connector().close());
    }

    private record Member(InetSocketAddress address, AgentConnector connector) {}
}
