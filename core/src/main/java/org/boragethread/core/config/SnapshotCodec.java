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
                ObjectCodec.node()
                        .put("format", FORMAT)
                        .put("revision", configuration.revision())
                        .put("capacityRevision", configuration.capacityRevision())
                        .put("forgottenThrough", configuration.forgottenThrough());
        putAll(result, "dataCentres", configuration.dataCentres().values(), ObjectCodec::write);
        putAll(result, "groups", configuration.groups().values(), ObjectCodec::write);
        putAll(result, "teams", configuration.teams().values(), ObjectCodec::write);
        putAll(result, "pipelines", configuration.pipelines().values(), ObjectCodec::write);
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

    static Configuration configuration(Fields fields) {
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
        each(fields, "dataCentres", ObjectCodec::dataCentre, builder::put);
        each(fields, "groups", ObjectCodec::group, builder::put);
        each(fields, "teams", ObjectCodec::team, builder::put);
        each(fields, "pipelines", ObjectCodec::pipeline, builder::put);
        fields.objects("upstreams", f -> upstream(f, builder));
        fields.objects("settledJobs", f -> settledJob(f, builder));
        fields.objects("decisions", f -> builder.decide(decision(f)));
        fields.objects("removals", f -> removal(f, builder));
        return builder.forgottenThrough(fields.longInteger("forgottenThrough")).build();
    }

    private static <T> void putAll(
            ObjectNode parent,
            String name,
            Collection<Versioned<T>> objects,
            Function<T, ObjectNode> writer) {
        ArrayNode array = parent.putArray(name);
        for (Versioned<T> object : objects) {
            array.add(
                    ObjectCodec.node()
                            .put("revision", object.revision())
                            .<ObjectNode>set("value", writer.apply(object.value())));
        }
    }

    private static <T> void each(
            Fields fields, String name, Function<Fields, T> reader, BiConsumer<T, Long> consumer) {
        fields.objects(name, f -> versioned(f, reader))
                .forEach(v -> consumer.accept(v.value(), v.revision()));
    }

    private static <T> Versioned<T> versioned(Fields fields, Function<Fields, T> reader) {
        return new Versioned<>(fields.object("value").read(reader), fields.longInteger("revision"));
    }

    private static ObjectNode write(UpstreamId id, Versioned<ServiceState> state) {
        return ObjectCodec.node()
                .put("upstream", id.value())
                .put("service", Fields.labelOf(state.value()))
                .put("revision", state.revision());
    }

    private static Configuration.Builder upstream(Fields fields, Configuration.Builder builder) {
        return builder.put(
                new UpstreamId(fields.text("upstream")),
                fields.label("service", ServiceState.class),
                fields.longInteger("revision"));
    }

    private static ObjectNode write(String job, Versioned<JobSettlement> outcome) {
        return ObjectCodec.node()
                .put("job", job)
                .put("outcome", Fields.labelOf(outcome.value()))
                .put("revision", outcome.revision());
    }

    private static Configuration.Builder settledJob(Fields fields, Configuration.Builder builder) {
        return builder.settle(
                fields.text("job"),
                fields.label("outcome", JobSettlement.class),
                fields.longInteger("revision"));
    }

    private static ObjectNode write(ObjectKind kind, long revision) {
        return ObjectCodec.node().put("kind", Fields.labelOf(kind)).put("revision", revision);
    }

    private static Configuration.Builder removal(Fields fields, Configuration.Builder builder) {
        return builder.removal(
                fields.label("kind", ObjectKind.class), fields.longInteger("revision"));
    }

    private static ObjectNode write(PlanDecision decision) {
        return ObjectCodec.node()
                .put("plan", decision.plan().value())
                .put("offset", decision.offset())
                .put("accepted", decision.accepted());
    }

    private static PlanDecision decision(Fields fields) {
        return new PlanDecision(
                new PlanId(fields.text("plan")),
                fields.longInteger("offset"),
                fields.bool("accepted"));
    }
}
