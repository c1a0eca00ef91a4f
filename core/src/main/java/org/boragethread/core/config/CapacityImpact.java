package org.boragethread.core.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.boragethread.model.config.CapacityEffect;
import org.boragethread.model.config.Configuration;
import org.boragethread.model.config.PlanEffects;
import org.boragethread.model.config.Versioned;
import org.boragethread.model.pipeline.Pipeline;
import org.boragethread.model.pipeline.Stage;
import org.boragethread.model.upstream.GroupId;

/** Computes how a configuration change affects the capacity of each group. */
final class CapacityImpact {

    private final Collection<PlacedUpstream> mUpstreams;
    private final Configuration mBefore;
    private final Configuration mAfter;
    private final List<CapacityEffect> mEffects = new ArrayList<>();
    private final List<String> mWarnings = new ArrayList<>();
    private boolean mNeedsForce;

    private CapacityImpact(
            Collection<PlacedUpstream> upstreams, Configuration before, Configuration after) {
        mUpstreams = upstreams;
        mBefore = before;
        mAfter = after;
    }

    static PlanEffects effects(
            Collection<PlacedUpstream> upstreams, Configuration before, Configuration after) {
        CapacityImpact check = new CapacityImpact(upstreams, before, after);
        check.run();
        return new PlanEffects(check.mEffects, check.mWarnings, check.mNeedsForce);
    }

    private void run() {
        TreeMap<GroupId, Integer> before = countInService(mBefore);
        TreeMap<GroupId, Integer> after = countInService(mAfter);
        Set<GroupId> groups = new TreeSet<>(before.keySet());
        groups.addAll(after.keySet());
        for (GroupId group : groups) {
            int countBefore = before.getOrDefault(group, 0);
            int countAfter = after.getOrDefault(group, 0);
            if (countBefore != countAfter) {
                mEffects.add(new CapacityEffect(group, countBefore, countAfter));
                warnIfHalved(group, countBefore, countAfter);
            }
        }
        for (Versioned<Pipeline> pipeline : mAfter.pipelines().values()) {
            warnAboutEmptyStages(pipeline.value(), after);
        }
    }

    private TreeMap<GroupId, Integer> countInService(Configuration configuration) {
        TreeMap<GroupId, Integer> counts = new TreeMap<>();
        for (PlacedUpstream upstream : mUpstreams) {
            if (configuration.isInService(upstream.id(), upstream.dataCentre())) {
                counts.merge(upstream.group(), 1, Integer::sum);
            }
        }
        return counts;
    }

    private void warnIfHalved(GroupId group, int countBefore, int countAfter) {
        if (countAfter > 0 && countAfter * 2 <= countBefore) {
            mWarnings.add(
                    "group \"%s\" keeps %d of %d upstreams in service"
                            .formatted(group, countAfter, countBefore));
        }
    }

    private void warnAboutEmptyStages(Pipeline pipeline, TreeMap<GroupId, Integer> after) {
        boolean isNew = !mBefore.pipeline(pipeline.id()).equals(mAfter.pipeline(pipeline.id()));
        for (Stage stage : pipeline.stages()) {
            boolean emptied = mEffects.stream().anyMatch(e -> e.group().equals(stage.group()));
            if (after.containsKey(stage.group()) || !(isNew || emptied)) {
                continue;
            }
            mNeedsForce |= emptied;
            mWarnings.add(
                    "stage \"%s\" of pipeline \"%s\" has no upstream of group \"%s\" in service"
                            .formatted(stage.name(), pipeline.id(), stage.group()));
        }
    }
}
