package org.boragethread.core.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.boragethread.core.log.LogRecord;
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
import org.boragethread.model.upstream.UpstreamId;

/** Factory methods for changes, plans and records in the tests of this package. */
final class TestConfigs {

    static final GroupId ENGINES = new GroupId("engines");
    static final DataCentreId FLORIDA = new DataCentreId("florida");
    static final DataCentreId SAN_JOSE = new DataCentreId("san-jose");

    private TestConfigs() {}

    static Change team(String name, int weight) {
        return new Change.PutTeam(new Team(new TeamId(name), weight, 50, 10));
    }

    static Change removeTeam(String name) {
        return new Change.RemoveTeam(new TeamId(name));
    }

    static Change pipeline(String name, GroupId group) {
        Stage stage = new Stage("draft", group, "/draft", true, true);
        return new Change.PutPipeline(
                new Pipeline(new PipelineId(name), List.of(stage), Duration.ofMillis(1500), 0.95));
    }

    static Change group(GroupId id) {
        return new Change.PutGroup(new UpstreamGroup(id, GroupKind.ENGINE, 2, 16, true));
    }

    static Change dataCentre(DataCentreId id) {
        return new Change.PutDataCentre(new DataCentre(id, "south", ServiceState.IN));
    }

    static Change takeOutOfService(DataCentreId id) {
        return new Change.SetDataCentreService(id, ServiceState.OUT);
    }

    static Change putIntoService(DataCentreId id) {
        return new Change.SetDataCentreService(id, ServiceState.IN);
    }

    /** Returns one upstream in each of the two data centres. */
    static List<PlacedUpstream> upstreams() {
        return List.of(
                new PlacedUpstream(new UpstreamId("engine-1"), ENGINES, FLORIDA),
                new PlacedUpstream(new UpstreamId("engine-2"), ENGINES, SAN_JOSE));
    }

    static Intent intent(String id, Change... changes) {
        return new Intent(id, "ana", List.of(changes), false);
    }

    static Plan plan(Intent intent, Configuration configuration) {
        return new Planner(TestConfigs::upstreams).plan(intent, configuration).get();
    }

    static Plan plan(Configuration configuration, String id, Change... changes) {
        return plan(intent(id, changes), configuration);
    }

    static LogRecord record(long offset, Plan plan) {
        byte[] data = ConfigCodec.writeRecord(new ConfigRecord.Confirmation(plan));
        return new LogRecord(offset, offset, "plan-" + plan.id(), data);
    }

    static LogRecord corruptRecord(long offset) {
        return new LogRecord(offset, offset, "garbage", new byte[] {'{', 7, 1});
    }

    static ApplyResult apply(Configuration configuration, Plan plan) {
        return ConfigStateMachine.apply(configuration, record(configuration.revision() + 1, plan));
    }

    static Configuration accept(Configuration configuration, String id, Change... changes) {
        ApplyResult result = apply(configuration, plan(configuration, id, changes));
        if (!(result.outcome() instanceof RecordOutcome.Accepted)) {
            throw new AssertionError("not accepted: " + result.outcome());
        }
        return result.configuration();
    }

    /** Returns a configuration with two data centres, one group and one pipeline. */
    static Configuration base() {
        return accept(
                Configuration.EMPTY,
                "base",
                dataCentre(FLORIDA),
                dataCentre(SAN_JOSE),
                group(ENGINES),
                pipeline("notes", ENGINES));
    }

    /** Returns random records that change teams; some conflict, some are corrupt or duplicates. */
    static List<LogRecord> records(int count, Random random) {
        List<LogRecord> records = new ArrayList<>();
        List<Configuration> states = new ArrayList<>(List.of(Configuration.EMPTY));
        while (records.size() < count) {
            Configuration now = states.get(states.size() - 1);
            long offset = now.revision() + 1;
            LogRecord record = nextRecord(offset, states, records, random);
            records.add(record);
            states.add(ConfigStateMachine.apply(now, record).configuration());
        }
        return records;
    }

    private static LogRecord nextRecord(
            long offset, List<Configuration> states, List<LogRecord> records, Random random) {
        int choice = random.nextInt(10);
        if (choice == 0) {
            return corruptRecord(offset);
        }
        if (choice == 1 && !records.isEmpty()) {
            LogRecord old = records.get(random.nextInt(records.size()));
            return new LogRecord(offset, offset, old.id(), old.data());
        }
        int lag = Math.min(states.size(), 1 + random.nextInt(4));
        Configuration base = states.get(states.size() - lag);
        String name = "team-" + random.nextInt(8);
        boolean known = base.team(new TeamId(name)).isPresent();
        Change change = known && choice < 5 ? removeTeam(name) : team(name, 1 + choice);
        return record(offset, plan(base, "intent-" + offset, change));
    }
}
