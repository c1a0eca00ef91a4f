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
        return node().put("id", dataCentre.id().value())
                .put("region", dataCentre.region())
                .put("service", Fields.labelOf(dataCentre.service()));
    }

    static DataCentre dataCentre(Fields fields) {
        return new DataCentre(
                new DataCentreId(fields.text("id")),
                fields.text("region"),
                fields.label("service", ServiceState.class));
    }

    static ObjectNode write(UpstreamGroup group) {
        return node().put("id", group.id().value())
                .put("kind", Fields.labelOf(group.kind()))
                .put("coldLimit", group.coldLimit())
                .put("maxLimit", group.maxLimit())
                .put("reportsLoad", group.reportsLoad());
    }

    static UpstreamGroup group(Fields fields) {
        return new UpstreamGroup(
                new GroupId(fields.text("id")),
                fields.label("kind", GroupKind.class),
                fields.integer("coldLimit"),
                fields.integer("maxLimit"),
                fields.boolOr("reportsLoad", false));
    }

    static ObjectNode write(Team team) {
        return node().put("id", team.id().value())
                .put("weight", team.weight())
                .put("ratePerSecond", team.ratePerSecond())
                .put("maxConcurrent", team.maxConcurrent());
    }

    static Team team(Fields fields) {
        return new Team(
                new TeamId(fields.text("id")),
                fields.integer("weight"),
                fields.number("ratePerSecond"),
                fields.integer("maxConcurrent"));
    }

    static ObjectNode write(Pipeline pipeline) {
        ObjectNode result = node().put("id", pipeline.id().value());
        ArrayNode stages = result.putArray("stages");
        pipeline.stages().forEach(s -> stages.add(write(s)));
        return result.put("deadlineMs", pipeline.deadline().toMillis())
                .put("goal", pipeline.goal());
    }

    static Pipeline pipeline(Fields fields) {
        return new Pipeline(
                new PipelineId(fields.text("id")),
                fields.objects("stages", ObjectCodec::stage),
                fields.millis("deadlineMs"),
                fields.number("goal"));
    }

    private static ObjectNode write(Stage stage) {
        return node().put("name", stage.name())
                .put("group", stage.group().value())
                .put("path", stage.path())
                .put("idempotent", stage.idempotent())
                .put("streaming", stage.streaming());
    }

    private static Stage stage(Fields fields) {
        return new Stage(
                fields.text("name"),
                new GroupId(fields.text("group")),
                fields.text("path"),
                fields.bool("idempotent"),
                fields.boolOr("streaming", false));
    }

    static ObjectNode node() {
        return JsonNodeFactory.instance.objectNode();
    }
}
