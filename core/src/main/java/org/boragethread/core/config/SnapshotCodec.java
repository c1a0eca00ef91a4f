package org.boragethread.core.config;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.boragethread.model.config.Configuration;
import org.boragethread.model.config.JobSettlement;
import org.boragethread.model.config.ObjectKind;
import org.boragethread.model.config.PlanDecision;
import org.boragethread.model.config.PlanId;
import org.boragethread.model.config.Versioned;
import org.boragethread.model.place.ServiceState;
import org.boragethread.model.upstream.UpstreamId;

/** JSON format of a complete configuration; equal configurations have equal documents. */
final class SnapshotCodec {

    private static final int FORMAT = 2;

    private SnapshotCodec() {}

    static ObjectNode write(Configuration configuration) {
        ObjectNode result =
                ObjectCodec.newNode()
                        .put("format", FORMAT)
                        .put("revision", configuration.revision())
                        .put("capacityRevision", configuration.capacityRevision())
                        .put("forgottenThrough", configuration.forgottenThrough());
        writeAll(result, "dataCentres", configuration.dataCentres().values(), ObjectCodec::write);
        writeAll(result, "groups", configuration.groups().values(), ObjectCodec::write);
        writeAll(result, "teams", configuration.teams().values(), ObjectCodec::write);
        writeAll(result, "pipelines", configuration.pipelines().values(), ObjectCodec::write);
        ArrayNode upstreams = result.putArray("upstreams");
        configuration.upstreams().forEach((id, state) -> upstreams.add(write(id, state)));
        ArrayNode jobs = result.putArray("settledJobs");
        configuration.settledJobs().forEach((job, outcome) -> jobs.add(write(job, outcome)));
        ArrayNode decisions = result.putArray("decisions");
        configuration.decisions().forEach(d -> decisions.add(write(d)));
        ArrayNode removals = result.putArray("removals");
        configuration.removals().forEach((kind, at) -> removals.add(write(kind, at)));
        return result;
    }

    static Configuration readConfiguration(JsonFields fields) {
        int format = fields.integer("format");
        if (format != FORMAT) {
            throw new IllegalArgumentException(
                    "has format %d, but this version reads only format %d: update the program"
                            .formatted(format, FORMAT));
        }
        Configuration.Builder builder =
                Configuration.EMPTY.toBuilder()
                        .revision(fields.longInteger("revision"))
                        .capacityRevision(fields.longInteger("capacityRevision"));
        readAll(fields, "dataCentres", ObjectCodec::readDataCentre, builder::put);
        readAll(fields, "groups", ObjectCodec::readGroup, builder::put);
        readAll(fields, "teams", ObjectCodec::readTeam, builder::put);
        readAll(fields, "pipelines", ObjectCodec::readPipeline, builder::put);
        fields.objects("upstreams", f -> readUpstream(f, builder));
        fields.objects("settledJobs", f -> readSettledJob(f, builder));
        fields.objects("decisions", f -> builder.putDecision(readDecision(f)));
        fields.objects("removals", f -> readRemoval(f, builder));
        return builder.forgottenThrough(fields.longInteger("forgottenThrough")).build();
    }

    private static <T> void writeAll(
            ObjectNode parent,
            String name,
            Collection<Versioned<T>> objects,
            Function<T, ObjectNode> writer) {
        ArrayNode array = parent.putArray(name);
        for (Versioned<T> object : objects) {
            array.add(
                    ObjectCodec.newNode()
                            .put("revision", object.revision())
                            .<ObjectNode>set("value", writer.apply(object.value())));
        }
    }

    private static <T> void readAll(
            JsonFields fields,
            String name,
            Function<JsonFields, T> reader,
            BiConsumer<T, Long> consumer) {
        fields.objects(name, f -> readVersioned(f, reader))
                .forEach(v -> consumer.accept(v.value(), v.revision()));
    }

    private static <T> Versioned<T> readVersioned(
            JsonFields fields, Function<JsonFields, T> reader) {
        return new Versioned<>(fields.object("value").read(reader), fields.longInteger("revision"));
    }

    private static ObjectNode write(UpstreamId id, Versioned<ServiceState> state) {
        return ObjectCodec.newNode()
                .put("upstream", id.value())
                .put("service", JsonFields.enumLabel(state.value()))
                .put("revision", state.revision());
    }

    private static Configuration.Builder readUpstream(
            JsonFields fields, Configuration.Builder builder) {
        return builder.put(
                new UpstreamId(fields.string("upstream")),
                fields.enumValue("service", ServiceState.class),
                fields.longInteger("revision"));
    }

    private static ObjectNode write(String job, Versioned<JobSettlement> outcome) {
        return ObjectCodec.newNode()
                .put("job", job)
                .put("outcome", JsonFields.enumLabel(outcome.value()))
                .put("revision", outcome.revision());
    }

    private static Configuration.Builder readSettledJob(
            JsonFields fields, Configuration.Builder builder) {
        return builder.putSettlement(
                fields.string("job"),
                fields.enumValue("outcome", JobSettlement.class),
                fields.longInteger("revision"));
    }

    private static ObjectNode write(ObjectKind kind, long revision) {
        return ObjectCodec.newNode()
                .put("kind", JsonFields.enumLabel(kind))
                .put("revision", revision);
    }

    private static Configuration.Builder readRemoval(
            JsonFields fields, Configuration.Builder builder) {
        return builder.lastRemoval(
                fields.enumValue("kind", ObjectKind.class), fields.longInteger("revision"));
    }

    private static ObjectNode write(PlanDecision decision) {
        return ObjectCodec.newNode()
                .put("plan", decision.plan().value())
                .put("offset", decision.offset())
                .put("accepted", decision.accepted());
    }

    private static PlanDecision readDecision(JsonFields fields) {
        return new PlanDecision(
                new PlanId(fields.string("plan")),
                fields.longInteger("offset"),
                fields.bool("accepted"));
    }
}
