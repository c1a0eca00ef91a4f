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
                ObjectCodec.node()
                        .put("id", intent.id())
                        .put("operator", intent.operator())
                        .put("force", intent.force());
        ArrayNode changes = result.putArray("changes");
        intent.changes().forEach(c -> changes.add(ChangeCodec.write(c)));
        return result;
    }

    static Intent intent(Fields fields) {
        return new Intent(
                fields.text("id"),
                fields.text("operator"),
                fields.objects("changes", ChangeCodec::read),
                fields.boolOr("force", false));
    }

    static ObjectNode write(Plan plan) {
        return content(plan).put("digest", plan.id().value());
    }

    /** Returns the part of a plan that its digest covers. */
    static ObjectNode content(Plan plan) {
        ObjectNode result = ObjectCodec.node().put("baseRevision", plan.baseRevision());
        result.set("intent", write(plan.intent()));
        ArrayNode touched = result.putArray("touched");
        plan.touched().forEach(t -> touched.add(write(t)));
        ArrayNode steps = result.putArray("steps");
        plan.steps().forEach(steps::add);
        result.set("effects", write(plan.effects()));
        return result;
    }

    static Plan plan(Fields fields) {
        return new Plan(
                new PlanId(fields.text("digest")),
                fields.longInteger("baseRevision"),
                fields.object("intent").read(PlanCodec::intent),
                fields.objects("touched", PlanCodec::touched),
                fields.texts("steps"),
                fields.object("effects").read(PlanCodec::effects));
    }

    private static ObjectNode write(TouchedObject touched) {
        return ObjectCodec.node()
                .put("kind", touched.ref().kind().label())
                .put("name", touched.ref().name())
                .put("revision", touched.revision());
    }

    private static TouchedObject touched(Fields fields) {
        ObjectRef ref = new ObjectRef(fields.label("kind", ObjectKind.class), fields.text("name"));
        return new TouchedObject(ref, fields.longInteger("revision"));
    }

    private static ObjectNode write(PlanEffects effects) {
        ObjectNode result = ObjectCodec.node();
        ArrayNode capacity = result.putArray("capacity");
        effects.capacity().forEach(c -> capacity.add(write(c)));
        ArrayNode warnings = result.putArray("warnings");
        effects.warnings().forEach(warnings::add);
        return result.put("needsForce", effects.needsForce());
    }

    private static PlanEffects effects(Fields fields) {
        return new PlanEffects(
                fields.objects("capacity", PlanCodec::capacity),
                fields.texts("warnings"),
                fields.bool("needsForce"));
    }

    private static ObjectNode write(CapacityEffect effect) {
        return ObjectCodec.node()
                .put("group", effect.group().value())
                .put("before", effect.before())
                .put("after", effect.after());
    }

    private static CapacityEffect capacity(Fields fields) {
        return new CapacityEffect(
                new GroupId(fields.text("group")),
                fields.integer("before"),
                fields.integer("after"));
    }
}
