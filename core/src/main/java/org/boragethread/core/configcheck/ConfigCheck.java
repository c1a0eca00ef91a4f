package org.boragethread.core.configcheck;

import java.util.List;
import org.boragethread.model.routing.RoutingConfig;

/** Checks a routing configuration by all rules. */
public final class ConfigCheck {

    private static final List<ConfigRule> RULES =
            List.of(
                    RouteUse::findShadowedRoutes,
                    ConfigRule.ofRoutes(RouteUse::findUnmatchableHost),
                    ConfigRule.ofRoutes(RouteUse::findUnmatchablePath),
                    ConfigRule.ofRoutes(RouteUse::findMissingKeys),
                    GroupUse::findUnusedGroups,
                    new WeightRule(),
                    ConfigRule.ofRoutes(GroupUse::findUnknownGroup),
                    ConfigRule.ofStages(GroupUse::findUnusableStageGroup),
                    new KeyRule(),
                    ConfigRule.ofRoutes(RouteLimits::findNoTime),
                    ConfigRule.ofRoutes(RouteLimits::findLateTarget),
                    ConfigRule.ofRoutes(RouteLimits::findLateGap),
                    ConfigRule.ofRoutes(RouteLimits::findUnusedAttempts),
                    ConfigRule.ofRoutes(RouteLimits::findResumptionWithoutStream),
                    ConfigRule.ofRoutes(StageLimits::findLongStages),
                    ConfigRule.ofRoutes(StageLimits::findStageCycle),
                    ConfigRule.ofStages(StageLimits::findUnknownStage),
                    ConfigRule.ofStages(StageLimits::findLongFullCall),
                    ConfigRule.ofStages(StageLimits::findLargeResults),
                    ConfigRule.ofStages(StageLimits::findShortResultTime),
                    ConfigRule.ofGroups(GroupLimits::findNoConnection),
                    ConfigRule.ofGroups(GroupLimits::findNoBatchSlot),
                    ConfigRule.ofGroups(GroupLimits::findNoEngineSlot),
                    ConfigRule.ofGroups(GroupLimits::findNoEngineMemory),
                    ConfigRule.ofGroups(GroupLimits::findFewConnections),
                    new CallerLimitRule());

    private ConfigCheck() {}

    /** Returns all faults of a configuration, in the order of the rules. */
    public static List<Finding> run(RoutingConfig config) {
        return RULES.stream().flatMap(rule -> rule.check(config).stream()).toList();
    }
}
