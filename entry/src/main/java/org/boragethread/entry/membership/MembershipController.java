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
 * Maintains a connector for each VM in the platform's list. A VM that is leaving or no longer
 * listed receives no new calls; its connection stays open until the agent closes it, so that
 * running calls can complete. While the list is not readable, the last one remains in effect.
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
     * Creates a controller.
     *
     * @param connectors creates a connector that is not started for an agent's address
     * @param interval time between requests for the list
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

    /** Fetches the list now and again after each interval. */
    public void start() {
        try {
            mDirectory.fetch().whenComplete(this::onFetched);
        } catch (RuntimeException | Error e) {
            LOGGER.error("failed to request the VM list", e);
            scheduleNext();
        }
    }

    private void onFetched(Either<LogError, VmList> result, Throwable failure) {
        try {
            if (failure == null) {
                onResult(result);
            } else {
                LOGGER.error("client error while reading the VM list", failure);
            }
        } catch (RuntimeException | Error e) {
            LOGGER.error("failed to apply the VM list", e);
        } finally {
            scheduleNext();
        }
    }

    private synchronized void scheduleNext() {
        if (!mClosed) {
            mTimer = mScheduler.schedule(mInterval, this::start);
        }
    }

    private void onResult(Either<LogError, VmList> result) {
        if (result.isLeft()) {
            LOGGER.warn("failed to fetch the VM list: {}", result.getLeft().message());
            return;
        }
        apply(result.get());
    }

    /** Updates the connectors to match a list. */
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
                entry.getValue().connector().setDraining(true);
            }
        }
        mMembers.entrySet()
                .removeIf(
                        entry -> !listed.contains(entry.getKey()) && closeIfDown(entry.getValue()));
    }

    private static boolean closeIfDown(Member member) {
        if (member.connector().isConnected()) {
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
        member.connector().setDraining(vm.state() == VmState.LEAVING);
    }

    /** Announces this process's configuration revision to every connected agent. */
    public synchronized void announceRevision() {
        mMembers.values().forEach(member -> member.connector().announceRevision());
    }

    /** Closes all connections and stops fetching the list. */
    public synchronized void close() {
        mClosed = true;
        mTimer.cancel();
        mMembers.values().forEach(member -> member.connector().close());
    }

    private record Member(InetSocketAddress address, AgentConnector connector) {}
}
