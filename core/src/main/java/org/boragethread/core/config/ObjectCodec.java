package org.boragethread.core.config;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
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

/** JSON format of the objects of a configuration. */
final class ObjectCodec {

    private ObjectCodec() {}

    static ObjectNode write(DataCentre dataCentre) {
        return newNode()
                .put("id", dataCentre.id().value())
                .put("region", dataCentre.region())
                .put("service", JsonFields.enumLabel(dataCentre.service()));
    }

    static DataCentre readDataCentre(JsonFields fields) {
        return new DataCentre(
                new DataCentreId(fields.string("id")),
                fields.string("region"),
                fields.enumValue("service", ServiceState.class));
    }

    static ObjectNode write(UpstreamGroup group) {
        return newNode()
                .put("id", group.id().value())
                .put("kind", JsonFields.enumLabel(group.kind()))
                .put("coldLimit", group.coldLimit())
                .put("maxLimit", group.maxLimit())
                .put("reportsLoad", group.reportsLoad());
    }

    static UpstreamGroup readGroup(JsonFields fields) {
        return new UpstreamGroup(
                new GroupId(fields.string("id")),
                fields.enumValue("kind", GroupKind.class),
                fields.integer("coldLimit"),
                fields.integer("maxLimit"),
                fields.boolOrDefault("reportsLoad", false));
    }

    static ObjectNode write(Team team) {
        return newNode()
                .put("id", team.id().value())
                .put("weight", team.weight())
                .put("ratePerSecond", team.ratePerSecond())
                .put("maxConcurrent", team.maxConcurrent());
    }

    static Team readTeam(JsonFields fields) {
        return new Team(
                new TeamId(fields.string("id")),
                fields.integer("weight"),
                fields.number("ratePerSecond"),
                fields.integer("maxConcurrent"));
    }

    static ObjectNode write(Pipeline pipeline) {
        ObjectNode result = newNode().put("id", pipeline.id().value());
        ArrayNode stages = result.putArray("stages");
        pipeline.stages().forEach(s -> stages.add(write(s)));
        return result.put("deadlineMs", pipeline.deadline().toMillis())
                .put("goal", pipeline.goal());
    }

    static Pipeline readPipeline(JsonFields fields) {
        return new Pipeline(
                new PipelineId(fields.string("id")),
                fields.objects("stages", ObjectCodec::readStage),
                fields.durationMillis("deadlineMs"),
                fields.number("goal"));
    }

    private static ObjectNode write(Stage stage) {
        return newNode()
                .put("name", stage.name())
                .put("group", stage.group().value())
                .put("path", stage.path())
                .put("idempotent", stage.idempotent())
                .put("streaming", stage.streaming());
    }

    private static Stage readStage(JsonFields fields) {
        return new Stage(
                fields.string("name"),
                new GroupId(fields.string("group")),
                fields.string("path"),
                fields.bool("idempotent"),
                fields.boolOrDefault("streaming", false));
    }

    static ObjectNode newNode() {
        return JsonNodeFactory.instance.objectNode();
    }
}
