package org.boragethread.agent.call;

import java.util.Optional;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragethread.core.config.ConfigListener;
import org.boragethread.model.config.Configuration;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamGroup;
import org.boragethread.model.upstream.UpstreamId;

/** Keeps the gate in line with the configuration of the group and of the data centre. */
public final class GateController implements ConfigListener {

    private static final Logger LOGGER = LogManager.getLogger(GateController.class);

    private final UpstreamId mUpstream;
    private final GroupId mGroup;
    private final DataCentreId mDataCentre;
    private final GateHolder mGates;
    private final Function<UpstreamGroup, ManagedGate> mFactory;
    private Optional<UpstreamGroup> mApplied = Optional.empty();
    private boolean mStopping;
    private boolean mOutOfService;

    /**
     * Makes a controller.
     *
     * @param factory makes the gate for a group's limits
     */
    public GateController(
            UpstreamId upstream,
            GroupId group,
            DataCentreId dataCentre,
            GateHolder gates,
            Function<UpstreamGroup, ManagedGate> factory) {
        mUpstream = upstream;
        mGroup = group;
        mDataCentre = dataCentre;
        mGates = gates;
        mFactory = factory;
    }

    @Override
    public synchronized void onConfiguration(Configuration configuration) {
        Optional<UpstreamGroup> group = configuration.group(mGroup);
        if (group.isPresent() && !group.equals(mApplied)) {
            apply(group.get());
            mApplied = group;
            LOGGER.info("gate follows group {}", group.get());
        }
        mOutOfService = !configuration.isInService(mUpstream, mDataCentre);
        updateLeaving();
    }

    private void apply(UpstreamGroup group) {
        Optional<ManagedGate> gate = mGates.managed();
        if (gate.isPresent()) {
            gate.get().reconfigure(group);
        } else {
            mGates.set(mFactory.apply(group));
        }
    }

    /** Refuses new work from now on because the process stops. */
    public synchronized void stop() {
        mStopping = true;
        updateLeaving();
    }

    private void updateLeaving() {
        mGates.setLeaving(mStopping || mOutOfService);
    }
}
