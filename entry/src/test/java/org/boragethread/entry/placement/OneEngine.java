package org.boragethread.entry.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.boragethread.core.callback.CallbackGuard;
import org.boragethread.core.callback.Supervisor;
import org.boragethread.core.placement.EngineDirectory;
import org.boragethread.core.placement.EngineStatus;
import org.boragethread.core.placement.PlacementCoordinator;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.core.time.Scheduler;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.routing.EngineLimits;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;

/** One group with one engine, whose memory holds one request of {@link #PROMPT_TOKENS}. */
final class OneEngine implements PlacementServer.Groups, EngineDirectory {

    static final GroupId GROUP = new GroupId("engines");
    static final UpstreamId ENGINE = new UpstreamId("engine");
    static final int PROMPT_TOKENS = 600;

    private int mLimitReads;
    private final ManualTimeSource mTime = new ManualTimeSource();
    private final List<Throwable> mFailures = new ArrayList<>();
    private final Supervisor mSupervisor =
            new Supervisor(new CallbackGuard(mFailures::add), mFailures::add);

    ManualTimeSource time() {
        return mTime;
    }

    /** Returns a scheduler whose tasks run for the owner that schedules them. */
    Scheduler scheduler() {
        return (delay, task) -> mTime.schedule(delay, mSupervisor.guard().bind(task));
    }

    Supervisor supervisor() {
        return mSupervisor;
    }

    /** Returns what callbacks have thrown. */
    List<Throwable> failures() {
        return mFailures;
    }

    @Override
    public Optional<PlacementCoordinator> createCoordinator(GroupId group) {
        return Optional.of(new PlacementCoordinator(this, true, mTime, mTime, mSupervisor));
    }

    @Override
    public Supervisor supervisor(GroupId group) {
        return mSupervisor;
    }

    @Override
    public Set<UpstreamId> outside(GroupId group, Set<String> regions) {
        return Set.of();
    }

    @Override
    public Collection<EngineStatus> engines() {
        return List.of(
                new EngineStatus(
                        ENGINE, 1, new DataCentreId("north"), false, false, Optional.empty()));
    }

    /** Returns how often the limits were read, as is done for each choice of an engine. */
    int limitReads() {
        return mLimitReads;
    }

    @Override
    public EngineLimits limits() {
        mLimitReads++;
        return new EngineLimits(4, 1000);
    }
}
