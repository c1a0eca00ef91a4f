package org.boragethread.core.config;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.boragethread.model.config.Change;
import org.boragethread.model.config.JobSettlement;
import org.boragethread.model.pipeline.PipelineId;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.place.ServiceState;
import org.boragethread.model.team.TeamId;
import org.boragethread.model.upstream.UpstreamId;

/**
 * JSON format of changes: an object whose {@code kind} field determines which other fields are
 * present.
 */
final class ChangeCodec {

    /** Kinds of changes; the JSON value is the constant's name in lower case with hyphens. */
    enum ChangeKind {
        PUT_DATA_CENTRE,
        PUT_GROUP,
        PUT_TEAM,
        REMOVE_TEAM,
        PUT_PIPELINE,
        REMOVE_PIPELINE,
        SET_DATA_CENTRE_SERVICE,
        SET_UPSTREAM_SERVICE,
        SETTLE_JOB
    }

    private ChangeCodec() {}

    static ObjectNode write(Change change) {
        if (change instanceof Change.PutDataCentre c) {
            return node(ChangeKind.PUT_DATA_CENTRE)
                    .set("dataCentre", ObjectCodec.write(c.dataCentre()));
        }
        if (change instanceof Change.PutGroup c) {
            return node(ChangeKind.PUT_GROUP).set("group", ObjectCodec.write(c.group()));
        }
        if (change instanceof Change.PutTeam c) {
            return node(ChangeKind.PUT_TEAM).set("team", ObjectCodec.write(c.team()));
        }
        if (change instanceof Change.PutPipeline c) {
            return node(ChangeKind.PUT_PIPELINE).set("pipeline", ObjectCodec.write(c.pipeline()));
        }
        return writeReferringChange(change);
    }

    private static ObjectNode writeReferringChange(Change change) {
        if (change instanceof Change.RemoveTeam c) {
            return node(ChangeKind.REMOVE_TEAM).put("team", c.team().value());
        }
        if (change instanceof Change.RemovePipeline c) {
            return node(ChangeKind.REMOVE_PIPELINE).put("pipeline", c.pipeline().value());
        }
        if (change instanceof Change.SetDataCentreService c) {
            return node(ChangeKind.SET_DATA_CENTRE_SERVICE)
                    .put("dataCentre", c.dataCentre().value())
                    .put("service", JsonFields.enumLabel(c.service()));
        }
        if (change instanceof Change.SetUpstreamService c) {
            return node(ChangeKind.SET_UPSTREAM_SERVICE)
                    .put("upstream", c.upstream().value())
                    .put("service", JsonFields.enumLabel(c.service()));
        }
        if (change instanceof Change.SettleJob c) {
            return node(ChangeKind.SETTLE_JOB)
                    .put("job", c.job())
                    .put("outcome", JsonFields.enumLabel(c.outcome()));
        }
        throw new IllegalStateException("no JSON form for " + change);
    }

    static Change read(JsonFields fields) {
        return switch (fields.enumValue("kind", ChangeKind.class)) {
            case PUT_DATA_CENTRE ->
                    new Change.PutDataCentre(
                            fields.object("dataCentre").read(ObjectCodec::readDataCentre));
            case PUT_GROUP ->
                    new Change.PutGroup(fields.object("group").read(ObjectCodec::readGroup));
            case PUT_TEAM -> new Change.PutTeam(fields.object("team").read(ObjectCodec::readTeam));
            case REMOVE_TEAM -> new Change.RemoveTeam(new TeamId(fields.string("team")));
            case PUT_PIPELINE ->
                    new Change.PutPipeline(
                            fields.object("pipeline").read(ObjectCodec::readPipeline));
            case REMOVE_PIPELINE ->
                    new Change.RemovePipeline(new PipelineId(fields.string("pipeline")));
            case SET_DATA_CENTRE_SERVICE ->
                    new Change.SetDataCentreService(
                            new DataCentreId(fields.string("dataCentre")),
                            fields.enumValue("service", ServiceState.class));
            case SET_UPSTREAM_SERVICE ->
                    new Change.SetUpstreamService(
                            new UpstreamId(fields.string("upstream")),
                            fields.enumValue("service", ServiceState.class));
            case SETTLE_JOB ->
                    new Change.SettleJob(
                            fields.string("job"), fields.enumValue("outcome", JobSettlement.class));
        };
    }

    private static ObjectNode node(ChangeKind kind) {
        return ObjectCodec.newNode().put("kind", JsonFields.enumLabel(kind));
    }
}
