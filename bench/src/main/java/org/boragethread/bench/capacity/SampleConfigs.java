package org.boragethread.bench.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.boragethread.core.config.Planner;
import org.boragethread.model.config.Change;
import org.boragethread.model.config.Configuration;
import org.boragethread.model.config.Intent;
import org.boragethread.model.config.Plan;
import org.boragethread.model.pipeline.Pipeline;
import org.boragethread.model.pipeline.PipelineId;
import org.boragethread.model.pipeline.Stage;
import org.boragethread.model.place.DataCentre;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.place.ServiceState;
import org.boragethread.model.team.Team;
import org.boragethread.model.team.TeamId;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.GroupKind;
import org.boragethread.model.upstream.UpstreamGroup;

/** Creates configurations and plans of a given size. */
final class SampleConfigs {

    private static final int DATA_CENTRES = 9;
    private static final int GROUPS = 18;
    private static final int PIPELINES = 33;
    private static final int STAGES = 4;

    private SampleConfigs() {}

    /**
     * Returns a configuration with the given number of teams and a fixed number of other objects.
     */
    static Configuration ofTeams(int teams) {
        Configuration.Builder builder = Configuration.EMPTY.toBuilder();
        for (int i = 0; i < DATA_CENTRES; i++) {
            DataCentreId id = new DataCentreId("data-centre-" + i);
            builder.put(new DataCentre(id, "region-" + i % 4, ServiceState.IN), i);
        }
        for (int i = 0; i < GROUPS; i++) {
            builder.put(new UpstreamGroup(group(i), GroupKind.ENGINE, 2, 16, true), 10 + i);
        }
        for (int i = 0; i < PIPELINES; i++) {
            builder.put(pipeline(i), 30 + i);
        }
        for (int i = 0; i < teams; i++) {
            builder.put(team(i, 1 + i % 7), 100 + i);
        }
        return builder.revision(100 + teams).build();
    }

    /** Returns a plan that changes the given number of teams. */
    static Plan plan(Configuration configuration, String intent, int changes) {
        List<Change> teamChanges = new ArrayList<>();
        for (int i = 0; i < changes; i++) {
            teamChanges.add(new Change.PutTeam(team(i, 3)));
        }
        return new Planner(List::of)
                .plan(new Intent(intent, "operator-1", teamChanges, false), configuration)
                .get();
    }

    private static Team team(int number, int weight) {
        return new Team(new TeamId("team-%05d".formatted(number)), weight, 50 + number % 100, 40);
    }

    private static GroupId group(int number) {
        return new GroupId("group-" + number);
    }

    private static Pipeline pipeline(int number) {
        List<Stage> stages =
                IntStream.range(0, STAGES)
                        .mapToObj(
                                i ->
                                        new Stage(
                                                "stage-" + i,
                                                group((number + i) % GROUPS),
                                                "/stage",
                                                true,
                                                i == STAGES - 1))
                        .toList();
        PipelineId id = new PipelineId("pipeline-" + number);
        return new Pipeline(id, stages, Duration.ofSeconds(2), 0.95);
    }
}
