package org.boragethread.model.config;

import io.vavr.Tuple2;
import io.vavr.collection.HashMap;
import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import org.boragethread.model.pipeline.Pipeline;
import org.boragethread.model.pipeline.PipelineId;
import org.boragethread.model.place.DataCentre;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.place.ServiceState;
import org.boragethread.model.team.Team;
import org.boragethread.model.team.TeamId;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamGroup;
import org.boragethread.model.upstream.UpstreamId;

/**
 * The configuration at one revision. Instances are immutable; {@link Builder} creates the next one.
 *
 * <p>The maps are persistent: the next configuration shares all unchanged parts. Upstreams are
 * listed only while operators keep them out of service.
 */
public final class Configuration {

    /** Revision of the configuration before the first record. */
    public static final long NO_REVISION = -1;

    /** Number of plan decisions, and of settled jobs, that are retained. */
    public static final int MAX_RETAINED = 1024;

    /** The configuration before the first record. */
    public static final Configuration EMPTY = new Builder().build();

    private final long mRevision;
    private final SortedMap<DataCentreId, Versioned<DataCentre>> mDataCentres;
    private final SortedMap<GroupId, Versioned<UpstreamGroup>> mGroups;
    private final SortedMap<UpstreamId, Versioned<ServiceState>> mUpstreams;
    private final SortedMap<TeamId, Versioned<Team>> mTeams;
    private final SortedMap<PipelineId, Versioned<Pipeline>> mPipelines;
    private final SortedMap<String, Versioned<JobSettlement>> mSettledJobs;
    private final SortedMap<Long, PlanDecision> mDecisions;
    private final HashMap<PlanId, Long> mDecisionOffsets;
    private final long mCapacityRevision;
    private final long mForgottenThrough;
    private final SortedMap<ObjectKind, Long> mRemovals;

    private Configuration(Builder builder) {
        mRevision = builder.mRevision;
        mDataCentres = builder.mDataCentres;
        mGroups = builder.mGroups;
        mUpstreams = builder.mUpstreams;
        mTeams = builder.mTeams;
        mPipelines = builder.mPipelines;
        mSettledJobs = builder.mSettledJobs;
        mDecisions = builder.mDecisions;
        mDecisionOffsets = builder.mDecisionOffsets;
        mCapacityRevision = builder.mCapacityRevision;
        mForgottenThrough = builder.mForgottenThrough;
        mRemovals = builder.mRemovals;
    }

    /** Returns the log offset of the last record that this configuration contains. */
    public long revision() {
        return mRevision;
    }

    /** Returns the data centres by name. */
    public Map<DataCentreId, Versioned<DataCentre>> dataCentres() {
        return new MapView<>(DataCentreId.class, mDataCentres);
    }

    /** Returns the upstream groups by name. */
    public Map<GroupId, Versioned<UpstreamGroup>> groups() {
        return new MapView<>(GroupId.class, mGroups);
    }

    /** Returns the upstreams whose service state operators have set. */
    public Map<UpstreamId, Versioned<ServiceState>> upstreams() {
        return new MapView<>(UpstreamId.class, mUpstreams);
    }

    /** Returns the teams by name. */
    public Map<TeamId, Versioned<Team>> teams() {
        return new MapView<>(TeamId.class, mTeams);
    }

    /** Returns the pipelines by name. */
    public Map<PipelineId, Versioned<Pipeline>> pipelines() {
        return new MapView<>(PipelineId.class, mPipelines);
    }

    /** Returns a pipeline, if it exists. */
    public Optional<Pipeline> pipeline(PipelineId id) {
        return mPipelines.get(id).map(Versioned::value).toJavaOptional();
    }

    /** Returns a team, if it exists. */
    public Optional<Team> team(TeamId id) {
        return mTeams.get(id).map(Versioned::value).toJavaOptional();
    }

    /** Returns an upstream group, if it exists. */
    public Optional<UpstreamGroup> group(GroupId id) {
        return mGroups.get(id).map(Versioned::value).toJavaOptional();
    }

    /** Returns a data centre, if it exists. */
    public Optional<DataCentre> dataCentre(DataCentreId id) {
        return mDataCentres.get(id).map(Versioned::value).toJavaOptional();
    }

    /** Returns whether an upstream in a data centre may receive new work. */
    public boolean isInService(UpstreamId upstream, DataCentreId dataCentre) {
        return mUpstreams.get(upstream).forAll(s -> s.value() == ServiceState.IN)
                && isInService(dataCentre);
    }

    /** Returns whether a data centre may receive new work; an unlisted data centre may. */
    public boolean isInService(DataCentreId dataCentre) {
        return mDataCentres.get(dataCentre).forAll(e -> e.value().service() == ServiceState.IN);
    }

    /**
     * Returns the jobs that operators have settled, without the oldest beyond the retention limit.
     */
    public Map<String, Versioned<JobSettlement>> settledJobs() {
        return new MapView<>(String.class, mSettledJobs);
    }

    /** Returns the retained decisions on plans, oldest first. */
    public Collection<PlanDecision> decisions() {
        return new MapView<>(Long.class, mDecisions).values();
    }

    /** Returns the decision on a plan, if it is retained. */
    public Optional<PlanDecision> decision(PlanId plan) {
        return mDecisionOffsets.get(plan).flatMap(mDecisions::get).toJavaOptional();
    }

    /** Returns the revision of the last change that took an object out of service. */
    public long capacityRevision() {
        return mCapacityRevision;
    }

    /**
     * Returns the offset up to which decisions have been discarded. A plan made from an older
     * revision may have been decided already, so it can no longer be confirmed.
     */
    public long forgottenThrough() {
        return mForgottenThrough;
    }

    /** Returns the revision of the last removal of an object, by kind. */
    public Map<ObjectKind, Long> removals() {
        return new MapView<>(ObjectKind.class, mRemovals);
    }

    /**
     * Returns the revision of the last removal of an object of a kind, or {@link #NO_REVISION}. A
     * plan made before that revision cannot distinguish an object that never existed from one that
     * was removed in the meantime.
     */
    public long lastRemoval(ObjectKind kind) {
        return mRemovals.get(kind).getOrElse(NO_REVISION);
    }

    /** Returns the revision of an object, or {@link #NO_REVISION} if it does not exist. */
    public long revisionOf(ObjectRef ref) {
        String name = ref.name();
        return switch (ref.kind()) {
            case DATA_CENTRE -> revisionIn(mDataCentres, new DataCentreId(name));
            case GROUP -> revisionIn(mGroups, new GroupId(name));
            case UPSTREAM -> revisionIn(mUpstreams, new UpstreamId(name));
            case TEAM -> revisionIn(mTeams, new TeamId(name));
            case PIPELINE -> revisionIn(mPipelines, new PipelineId(name));
            case JOB -> revisionIn(mSettledJobs, name);
            case CAPACITY -> mCapacityRevision;
        };
    }

    private static <K, V> long revisionIn(SortedMap<K, Versioned<V>> map, K key) {
        return map.get(key).map(Versioned::revision).getOrElse(NO_REVISION);
    }

    /** Returns a builder that starts with this configuration. */
    public Builder toBuilder() {
        return new Builder(this);
    }

    /** Builds configurations. */
    public static final class Builder {
        private long mRevision = NO_REVISION;
        private SortedMap<DataCentreId, Versioned<DataCentre>> mDataCentres = TreeMap.empty();
        private SortedMap<GroupId, Versioned<UpstreamGroup>> mGroups = TreeMap.empty();
        private SortedMap<UpstreamId, Versioned<ServiceState>> mUpstreams = TreeMap.empty();
        private SortedMap<TeamId, Versioned<Team>> mTeams = TreeMap.empty();
        private SortedMap<PipelineId, Versioned<Pipeline>> mPipelines = TreeMap.empty();
        private SortedMap<String, Versioned<JobSettlement>> mSettledJobs = TreeMap.empty();
        private SortedMap<Long, PlanDecision> mDecisions = TreeMap.empty();
        private HashMap<PlanId, Long> mDecisionOffsets = HashMap.empty();
        private long mCapacityRevision = NO_REVISION;
        private long mForgottenThrough = NO_REVISION;
        private SortedMap<ObjectKind, Long> mRemovals = TreeMap.empty();

        /** Creates a builder that starts with the empty configuration. */
        public Builder() {}

        private Builder(Configuration from) {
            mRevision = from.mRevision;
            mDataCentres = from.mDataCentres;
            mGroups = from.mGroups;
            mUpstreams = from.mUpstreams;
            mTeams = from.mTeams;
            mPipelines = from.mPipelines;
            mSettledJobs = from.mSettledJobs;
            mDecisions = from.mDecisions;
            mDecisionOffsets = from.mDecisionOffsets;
            mCapacityRevision = from.mCapacityRevision;
            mForgottenThrough = from.mForgottenThrough;
            mRemovals = from.mRemovals;
        }

        /** Sets the revision of the result. */
        public Builder revision(long revision) {
            mRevision = revision;
            return this;
        }

        /** Adds or replaces a data centre. */
        public Builder put(DataCentre dataCentre, long revision) {
            mDataCentres = mDataCentres.put(dataCentre.id(), new Versioned<>(dataCentre, revision));
            return this;
        }

        /** Adds or replaces an upstream group. */
        public Builder put(UpstreamGroup group, long revision) {
            mGroups = mGroups.put(group.id(), new Versioned<>(group, revision));
            return this;
        }

        /** Sets the service state of an upstream. */
        public Builder put(UpstreamId upstream, ServiceState state, long revision) {
            mUpstreams = mUpstreams.put(upstream, new Versioned<>(state, revision));
            return this;
        }

        /** Removes the service state of an upstream, which is then in service. */
        public Builder remove(UpstreamId upstream, long revision) {
            if (!mUpstreams.containsKey(upstream)) {
                return this;
            }
            mUpstreams = mUpstreams.remove(upstream);
            return lastRemoval(ObjectKind.UPSTREAM, revision);
        }

        /** Adds or replaces a team. */
        public Builder put(Team team, long revision) {
            mTeams = mTeams.put(team.id(), new Versioned<>(team, revision));
            return this;
        }

        /** Adds or replaces a pipeline. */
        public Builder put(Pipeline pipeline, long revision) {
            mPipelines = mPipelines.put(pipeline.id(), new Versioned<>(pipeline, revision));
            return this;
        }

        /** Removes a team. */
        public Builder remove(TeamId team, long revision) {
            mTeams = mTeams.remove(team);
            return lastRemoval(ObjectKind.TEAM, revision);
        }

        /** Removes a pipeline. */
        public Builder remove(PipelineId pipeline, long revision) {
            mPipelines = mPipelines.remove(pipeline);
            return lastRemoval(ObjectKind.PIPELINE, revision);
        }

        /** Sets the revision of the last removal of an object of a kind; it never decreases. */
        public Builder lastRemoval(ObjectKind kind, long revision) {
            mRemovals = mRemovals.put(kind, revision, Math::max);
            return this;
        }

        /**
         * Records the settlement of a job and discards the oldest one beyond the retention limit.
         */
        public Builder putSettlement(String job, JobSettlement outcome, long revision) {
            mSettledJobs = mSettledJobs.put(job, new Versioned<>(outcome, revision));
            if (mSettledJobs.size() > MAX_RETAINED) {
                Tuple2<String, Versioned<JobSettlement>> oldest =
                        mSettledJobs.minBy(e -> e._2.revision()).get();
                mSettledJobs = mSettledJobs.remove(oldest._1);
                lastRemoval(ObjectKind.JOB, oldest._2.revision());
            }
            return this;
        }

        /**
         * Records the decision on a plan and discards the oldest one beyond the retention limit.
         */
        public Builder putDecision(PlanDecision decision) {
            mDecisions = mDecisions.put(decision.offset(), decision);
            mDecisionOffsets = mDecisionOffsets.put(decision.plan(), decision.offset());
            if (mDecisions.size() > MAX_RETAINED) {
                PlanDecision oldest = mDecisions.head()._2;
                mDecisions = mDecisions.remove(oldest.offset());
                mDecisionOffsets = mDecisionOffsets.remove(oldest.plan());
                mForgottenThrough = oldest.offset();
            }
            return this;
        }

        /** Sets the revision of the last change that took an object out of service. */
        public Builder capacityRevision(long revision) {
            mCapacityRevision = revision;
            return this;
        }

        /** Sets the offset up to which decisions have been discarded. */
        public Builder forgottenThrough(long offset) {
            mForgottenThrough = offset;
            return this;
        }

        /** Returns the configuration. */
        public Configuration build() {
            return new Configuration(this);
        }
    }
}
