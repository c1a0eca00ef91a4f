package org.boragethread.model.config;

import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
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
 * The configuration as of one revision. Instances are immutable; {@link Builder} makes the next.
 *
 * <p>Upstreams appear only while operators hold them out of service.
 */
public final class Configuration {

    /** Revision of the configuration before any record. */
    public static final long NO_REVISION = -1;

    /** The configuration before any record. */
    public static final Configuration EMPTY = new Builder().build();

    private final long mRevision;
    private final SortedMap<DataCentreId, Versioned<DataCentre>> mDataCentres;
    private final SortedMap<GroupId, Versioned<UpstreamGroup>> mGroups;
    private final SortedMap<UpstreamId, Versioned<ServiceState>> mUpstreams;
    private final SortedMap<TeamId, Versioned<Team>> mTeams;
    private final SortedMap<PipelineId, Versioned<Pipeline>> mPipelines;

    private Configuration(Builder builder) {
        mRevision = builder.mRevision;
        mDataCentres = new TreeMap<>(builder.mDataCentres);
        mGroups = new TreeMap<>(builder.mGroups);
        mUpstreams = new TreeMap<>(builder.mUpstreams);
        mTeams = new TreeMap<>(builder.mTeams);
        mPipelines = new TreeMap<>(builder.mPipelines);
    }

    /** Returns the log offset of the last record that this configuration contains. */
    public long revision() {
        return mRevision;
    }

    /** Returns the data centres by name. */
    public Map<DataCentreId, Versioned<DataCentre>> dataCentres() {
        return Collections.unmodifiableSortedMap(mDataCentres);
    }

    /** Returns the upstream groups by name. */
    public Map<GroupId, Versioned<UpstreamGroup>> groups() {
        return Collections.unmodifiableSortedMap(mGroups);
    }

    /** Returns the upstreams whose service state operators have set. */
    public Map<UpstreamId, Versioned<ServiceState>> upstreams() {
        return Collections.unmodifiableSortedMap(mUpstreams);
    }

    /** Returns the teams by name. */
    public Map<TeamId, Versioned<Team>> teams() {
        return Collections.unmodifiableSortedMap(mTeams);
    }

    /** Returns the pipelines by name. */
    public Map<PipelineId, Versioned<Pipeline>> pipelines() {
        return Collections.unmodifiableSortedMap(mPipelines);
    }

    /** Returns a pipeline, if it exists. */
    public Optional<Pipeline> pipeline(PipelineId id) {
        return Optional.ofNullable(mPipelines.get(id)).map(Versioned::value);
    }

    /** Returns a team, if it exists. */
    public Optional<Team> team(TeamId id) {
        return Optional.ofNullable(mTeams.get(id)).map(Versioned::value);
    }

    /** Returns an upstream group, if it exists. */
    public Optional<UpstreamGroup> group(GroupId id) {
        return Optional.ofNullable(mGroups.get(id)).map(Versioned::value);
    }

    /** Returns a data centre, if it exists. */
    public Optional<DataCentre> dataCentre(DataCentreId id) {
        return Optional.ofNullable(mDataCentres.get(id)).map(Versioned::value);
    }

    /** Tells whether an upstream in a data centre may receive new work. */
    public boolean isInService(UpstreamId upstream, DataCentreId dataCentre) {
        Versioned<ServiceState> state = mUpstreams.get(upstream);
        if (state != null && state.value() == ServiceState.OUT) {
            return false;
        }
        return isInService(dataCentre);
    }

    /** Tells whether a data centre may receive new work; an unlisted one may. */
    public boolean isInService(DataCentreId dataCentre) {
        Versioned<DataCentre> entry = mDataCentres.get(dataCentre);
        return entry == null || entry.value().service() == ServiceState.IN;
    }

    /** Returns a builder that starts with this configuration. */
    public Builder toBuilder() {
        return new Builder(this);
    }

    /** Makes configurations. */
    public static final class Builder {
        private long mRevision = NO_REVISION;
        private final SortedMap<DataCentreId, Versioned<DataCentre>> mDataCentres = new TreeMap<>();
        private final SortedMap<GroupId, Versioned<UpstreamGroup>> mGroups = new TreeMap<>();
        private final SortedMap<UpstreamId, Versioned<ServiceState>> mUpstreams = new TreeMap<>();
        private final SortedMap<TeamId, Versioned<Team>> mTeams = new TreeMap<>();
        private final SortedMap<PipelineId, Versioned<Pipeline>> mPipelines = new TreeMap<>();

        /** Starts with the empty configuration. */
        public Builder() {}

        private Builder(Configuration from) {
            mRevision = from.mRevision;
            mDataCentres.putAll(from.mDataCentres);
            mGroups.putAll(from.mGroups);
            mUpstreams.putAll(from.mUpstreams);
            mTeams.putAll(from.mTeams);
            mPipelines.putAll(from.mPipelines);
        }

        /** Sets the revision of the result. */
        public Builder revision(long revision) {
            mRevision = revision;
            return this;
        }

        /** Adds or replaces a data centre. */
        public Builder put(DataCentre dataCentre, long revision) {
            mDataCentres.put(dataCentre.id(), new Versioned<>(dataCentre, revision));
            return this;
        }

        /** Adds or replaces an upstream group. */
        public Builder put(UpstreamGroup group, long revision) {
            mGroups.put(group.id(), new Versioned<>(group, revision));
            return this;
        }

        /** Sets the service state of an upstream. */
        public Builder put(UpstreamId upstream, ServiceState state, long revision) {
            mUpstreams.put(upstream, new Versioned<>(state, revision));
            return this;
        }

        /** Adds or replaces a team. */
        public Builder put(Team team, long revision) {
            mTeams.put(team.id(), new Versioned<>(team, revision));
            return this;
        }

        /** Adds or replaces a pipeline. */
        public Builder put(Pipeline pipeline, long revision) {
            mPipelines.put(pipeline.id(), new Versioned<>(pipeline, revision));
            return this;
        }

        /** Removes a team. */
        public Builder remove(TeamId team) {
            mTeams.remove(team);
            return this;
        }

        /** Removes a pipeline. */
        public Builder remove(PipelineId pipeline) {
            mPipelines.remove(pipeline);
            return this;
        }

        /** Returns the configuration. */
        public Configuration build() {
            return new Configuration(this);
        }
    }
}
