package org.boragethread.model.config;

import java.util.Objects;
import org.boragethread.model.Names;
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

/** One change to the configuration. */
public sealed interface Change {

    /** Returns the object that the change writes. */
    ObjectRef ref();

    /** Returns whether the change takes an object out of service. */
    default boolean takesOutOfService() {
        return false;
    }

    /**
     * Adds or replaces a data centre.
     *
     * @param dataCentre the data centre
     */
    record PutDataCentre(DataCentre dataCentre) implements Change {

        public PutDataCentre {
            Objects.requireNonNull(dataCentre, "dataCentre");
        }

        @Override
        public ObjectRef ref() {
            return refOf(dataCentre.id());
        }

        @Override
        public boolean takesOutOfService() {
            return dataCentre.service() == ServiceState.OUT;
        }
    }

    /**
     * Adds or replaces an upstream group.
     *
     * @param group the group
     */
    record PutGroup(UpstreamGroup group) implements Change {

        public PutGroup {
            Objects.requireNonNull(group, "group");
        }

        @Override
        public ObjectRef ref() {
            return refOf(group.id());
        }
    }

    /**
     * Adds or replaces a team.
     *
     * @param team the team
     */
    record PutTeam(Team team) implements Change {

        public PutTeam {
            Objects.requireNonNull(team, "team");
        }

        @Override
        public ObjectRef ref() {
            return refOf(team.id());
        }
    }

    /**
     * Removes a team.
     *
     * @param team the team
     */
    record RemoveTeam(TeamId team) implements Change {

        public RemoveTeam {
            Objects.requireNonNull(team, "team");
        }

        @Override
        public ObjectRef ref() {
            return refOf(team);
        }
    }

    /**
     * Adds or replaces a pipeline.
     *
     * @param pipeline the pipeline
     */
    record PutPipeline(Pipeline pipeline) implements Change {

        public PutPipeline {
            Objects.requireNonNull(pipeline, "pipeline");
        }

        @Override
        public ObjectRef ref() {
            return refOf(pipeline.id());
        }
    }

    /**
     * Removes a pipeline.
     *
     * @param pipeline the pipeline
     */
    record RemovePipeline(PipelineId pipeline) implements Change {

        public RemovePipeline {
            Objects.requireNonNull(pipeline, "pipeline");
        }

        @Override
        public ObjectRef ref() {
            return refOf(pipeline);
        }
    }

    /**
     * Takes a data centre out of service or puts it back into service.
     *
     * @param dataCentre the data centre
     * @param service the new service state
     */
    record SetDataCentreService(DataCentreId dataCentre, ServiceState service) implements Change {

        public SetDataCentreService {
            Objects.requireNonNull(dataCentre, "dataCentre");
            Objects.requireNonNull(service, "service");
        }

        @Override
        public ObjectRef ref() {
            return refOf(dataCentre);
        }

        @Override
        public boolean takesOutOfService() {
            return service == ServiceState.OUT;
        }
    }

    /**
     * Takes an upstream out of service or puts it back into service.
     *
     * @param upstream the upstream
     * @param service the new service state
     */
    record SetUpstreamService(UpstreamId upstream, ServiceState service) implements Change {

        public SetUpstreamService {
            Objects.requireNonNull(upstream, "upstream");
            Objects.requireNonNull(service, "service");
        }

        @Override
        public ObjectRef ref() {
            return refOf(upstream);
        }

        @Override
        public boolean takesOutOfService() {
            return service == ServiceState.OUT;
        }
    }

    /**
     * Sets the outcome of a job that is held because its outcome is unknown.
     *
     * @param job identifier of the job
     * @param outcome outcome found by the operator
     */
    record SettleJob(String job, JobSettlement outcome) implements Change {

        public SettleJob {
            Names.check("Job", job);
            Objects.requireNonNull(outcome, "outcome");
        }

        @Override
        public ObjectRef ref() {
            return new ObjectRef(ObjectKind.JOB, job);
        }
    }

    /** Returns a reference to a data centre. */
    static ObjectRef refOf(DataCentreId id) {
        return new ObjectRef(ObjectKind.DATA_CENTRE, id.value());
    }

    /** Returns a reference to an upstream group. */
    static ObjectRef refOf(GroupId id) {
        return new ObjectRef(ObjectKind.GROUP, id.value());
    }

    /** Returns a reference to an upstream. */
    static ObjectRef refOf(UpstreamId id) {
        return new ObjectRef(ObjectKind.UPSTREAM, id.value());
    }

    /** Returns a reference to a team. */
    static ObjectRef refOf(TeamId id) {
        return new ObjectRef(ObjectKind.TEAM, id.value());
    }

    /** Returns a reference to a pipeline. */
    static ObjectRef refOf(PipelineId id) {
        return new ObjectRef(ObjectKind.PIPELINE, id.value());
    }
}
