package org.boragethread.core.config;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.boragethread.model.config.CapacityEffect;
import org.boragethread.model.config.Intent;
import org.boragethread.model.config.ObjectKind;
import org.boragethread.model.config.ObjectRef;
import org.boragethread.model.config.Plan;
import org.boragethread.model.config.PlanEffects;
import org.boragethread.model.config.PlanId;
import org.boragethread.model.config.TouchedObject;
import org.boragethread.model.upstream.GroupId;

/** JSON format of intents and plans. */
final class PlanCodec {

    private PlanCodec() {}

    static ObjectNode write(Intent intent) {
        ObjectNode result =
                ObjectCodec.newNode()
                        .put("id", intent.id())
                        .put("operator", intent.operator())
                        .put("force", intent.force());
        ArrayNode changes = result.putArray("changes");
        intent.changes().forEach(c -> changes.add(ChangeCodec.write(c)));
        return result;
    }

    static Intent readIntent(JsonFields fields) {
        return new Intent(
                fields.string("id"),
                fields.string("operator"),
                fields.objects("changes", ChangeCodec::read),
                fields.boolOrDefault("force", false));
    }

    static ObjectNode write(Plan plan) {
        return writeContent(plan).put("digest", plan.id().value());
    }

    /** Returns the part of a plan that its digest covers. */
    static ObjectNode writeContent(Plan plan) {
        ObjectNode result = ObjectCodec.newNode().put("baseRevision", plan.baseRevision());
        result.set("intent", write(plan.intent()));
        ArrayNode touched = result.putArray("touched");
        plan.touched().forEach(t -> touched.add(write(t)));
        ArrayNode steps = result.putArray("steps");
        plan.steps().forEach(steps::add);
        result.set("effects", write(plan.effects()));
        return result;
    }

    static Plan readPlan(JsonFields fields) {
        return new Plan(
                new PlanId(fields.string("digest")),
                fields.longInteger("baseRevision"),
                fields.object("intent").read(PlanCodec::readIntent),
                fields.objects("touched", PlanCodec::readTouched),
                fields.strings("steps"),
                fields.object("effects").read(PlanCodec::readEffects));
    }

    private static ObjectNode write(TouchedObject touched) {
        return ObjectCodec.newNode()
                .put("kind", touched.ref().kind().label())
                .put("name", touched.ref().name())
                .put("revision", touched.revision());
    }

    private static TouchedObject readTouched(JsonFields fields) {
        ObjectRef ref =
                new ObjectRef(fields.enumValue("kind", ObjectKind.class), fields.string("name"));
        return new TouchedObject(ref, fields.longInteger("revision"));
    }

    private static ObjectNode write(PlanEffects effects) {
        ObjectNode result = ObjectCodec.newNode();
        ArrayNode capacity = result.putArray("capacity");
        effects.capacity().forEach(c -> capacity.add(write(c)));
        ArrayNode warnings = result.putArray("warnings");
        effects.warnings().forEach(warnings::add);
        return result.put("needsForce", effects.needsForce());
    }

    private static PlanEffects readEffects(JsonFields fields) {
        return new PlanEffects(
                fields.objects("capacity", PlanCodec::readCapacity),
                fields.strings("warnings"),
                fields.bool("needsForce"));
    }

    private static ObjectNode write(CapacityEffect effect) {
        return ObjectCodec.newNode()
                .put("group", effect.group().value())
                .put("before", effect.before())
                .put("after", effect.after());
    }

    private static CapacityEffect readCapacity(JsonFields fields) {
        return new CapacityEffect(
                new GroupId(fields.string("group")),
                fields.integer("before"),
                fields.integer("after"));
    }
}
