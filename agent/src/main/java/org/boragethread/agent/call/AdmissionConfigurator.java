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

/** Applies the configuration of the group and of the data centre to the admission controller. */
public final class AdmissionConfigurator implements ConfigListener {

    private static final Logger LOGGER = LogManager.getLogger(AdmissionConfigurator.class);

    private final UpstreamId mUpstream;
    private final GroupId mGroup;
    private final DataCentreId mDataCentre;
    private final AdmissionControllerHolder mAdmission;
    private final Function<UpstreamGroup, ManagedAdmissionController> mFactory;
    private Optional<UpstreamGroup> mApplied = Optional.empty();
    private boolean mStopping;
    private boolean mOutOfService;

    /**
     * Creates a configurator; the admission controller is created with the first configuration.
     *
     * @param factory creates the admission controller for a configuration of the group
     */
    public AdmissionConfigurator(
            UpstreamId upstream,
            GroupId group,
            DataCentreId dataCentre,
            AdmissionControllerHolder admission,
            Function<UpstreamGroup, ManagedAdmissionController> factory) {
        mUpstream = upstream;
        mGroup = group;
        mDataCentre = dataCentre;
        mAdmission = admission;
        mFactory = factory;
    }

    @Override
    public synchronized void onConfiguration(Configuration configuration) {
        Optional<UpstreamGroup> group = configuration.group(mGroup);
        if (group.isPresent() && !group.equals(mApplied)) {
            apply(group.get());
            mApplied = group;
            LOGGER.info("applied the configuration of group {}", group.get());
        }
        mOutOfService = !configuration.isInService(mUpstream, mDataCentre);
        updateLeaving();
    }

    private void apply(UpstreamGroup group) {
        Optional<ManagedAdmissionController> managed = mAdmission.managed();
        if (managed.isPresent()) {
            managed.get().reconfigure(group);
        } else {
            mAdmission.set(mFactory.apply(group));
        }
    }

    /** Refuses new calls from now on because the process is stopping. */
    public synchronized void stop() {
        mStopping = true;
        updateLeaving();
    }

    private void updateLeaving() {
        mAdmission.setLeaving(mStopping || mOutOfService);
    }
}
