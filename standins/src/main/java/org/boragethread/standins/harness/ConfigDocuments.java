package org.boragethread.standins.harness;

import java.util.List;

/** JSON documents of the operators' interface; field names are those of the interface. */
public final class ConfigDocuments {

    private ConfigDocuments() {}

    /** A group of upstreams. */
    public record Group(String id, String kind, int coldLimit, int maxLimit, boolean reportsLoad) {}

    /** A team and its bounds. */
    public record Team(String id, int weight, double ratePerSecond, int maxConcurrent) {}

    /** One step of a pipeline. */
    public record Stage(
            String name, String group, String path, boolean idempotent, boolean streaming) {}

    /** A pipeline. */
    public record Pipeline(String id, List<Stage> stages, long deadlineMs, double goal) {}

    /** A data centre. */
    public record DataCentre(String id, String region, String service) {}

    /** A change of an intent. */
    public interface Change {}

    /** Adds or replaces a group. */
    public record PutGroup(String kind, Group group) implements Change {
        /** Makes the change. */
        public PutGroup(Group group) {
            this("put-group", group);
        }
    }

    /** Adds or replaces a team. */
    public record PutTeam(String kind, Team team) implements Change {
        /** Makes the change. */
        public PutTeam(Team team) {
            this("put-team", team);
        }
    }

    /** Adds or replaces a pipeline. */
    public record PutPipeline(String kind, Pipeline pipeline) implements Change {
        /** Makes the change. */
        public PutPipeline(Pipeline pipeline) {
            this("put-pipeline", pipeline);
        }
    }

    /** Adds or replaces a data centre. */
    public record PutDataCentre(String kind, DataCentre dataCentre) implements Change {
        /** Makes the change. */
        public PutDataCentre(DataCentre dataCentre) {
            this("put-data-centre", dataCentre);
        }
    }

    /** Takes a data centre out of service or back. */
    public record SetDataCentreService(String kind, String dataCentre, String service)
            implements Change {
        /**
         * Makes the change.
         *
         * @param service {@code in} or {@code out}
         */
        public SetDataCentreService(String dataCentre, String service) {
            this("set-data-centre-service", dataCentre, service);
        }
    }

    /** What an operator wants. */
    public record Intent(String id, String operator, boolean force, List<Change> changes) {}
}
