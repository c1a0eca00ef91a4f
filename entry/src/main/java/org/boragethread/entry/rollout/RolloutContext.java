package org.boragethread.entry.rollout;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.boragethread.core.callback.Supervisor;
import org.boragethread.core.stage.CoordinatorTable;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;
import org.boragethread.core.upstream.UpstreamDirectory;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.process.log.EventLog;

/**
 * What roll-outs need from the process.
 *
 * @param supervisor told of a group whose callback threw, which must not stop the others
 * @param directory upstreams and the versions that they announce
 * @param coordinators which entry decides on the roll-outs of a group; for roll-outs only, so that
 *     a lost report changes nothing about stages
 * @param peers sends reports to other entries
 * @param isConfigured whether the configuration has a group
 * @param departureTime time after which an entry that ended has no request in flight; empty until
 *     the configuration is known
 */
public record RolloutContext(
        TimeSource time,
        Scheduler scheduler,
        Supervisor supervisor,
        EventLog log,
        MeterRegistry meters,
        UpstreamDirectory directory,
        CoordinatorTable coordinators,
        RolloutPeers peers,
        Predicate<GroupId> isConfigured,
        Supplier<Optional<Duration>> departureTime) {}
