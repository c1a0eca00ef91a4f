package org.boragethread.core.config;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.boragethread.model.config.Change;
import org.boragethread.model.config.Configuration;
import org.boragethread.model.pipeline.Stage;
import org.boragethread.model.place.DataCentre;
import org.boragethread.model.place.ServiceState;
import org.boragethread.model.upstream.GroupId;

/** Validates changes against a configuration and applies them. */
final class ChangeRules {

    private ChangeRules() {}

    /** Returns the error of the first change that is invalid for the configuration, if any. */
    static Optional<ConfigError> check(List<Change> changes, Configuration configuration) {
        Set<GroupId> groups = new HashSet<>(configuration.groups().keySet());
        for (Change change : changes) {
            if (change instanceof Change.PutGroup c) {
                groups.add(c.group().id());
            }
        }
        return changes.stream()
                .map(c -> check(c, configuration, groups))
                .flatMap(Optional::stream)
                .findFirst();
    }

    private static Optional<ConfigError> check(
            Change change, Configuration configuration, Set<GroupId> groups) {
        if (change instanceof Change.PutPipeline c) {
            return c.pipeline().stages().stream()
                    .filter(s -> !groups.contains(s.group()))
                    .findFirst()
                    .map(s -> unknownGroup(c, s));
        }
        boolean requiresExistingObject =
                change instanceof Change.RemoveTeam
                        || change instanceof Change.RemovePipeline
                        || change instanceof Change.SetDataCentreService;
        if (requiresExistingObject
                && configuration.revisionOf(change.ref()) == Configuration.NO_REVISION) {
            return Optional.of(invalid("%s does not exist".formatted(change.ref())));
        }
        return Optional.empty();
    }

    private static ConfigError unknownGroup(Change.PutPipeline change, Stage stage) {
        return invalid(
                "%s: stage \"%s\" names group \"%s\", which does not exist"
                        .formatted(change.ref(), stage.name(), stage.group()));
    }

    private static ConfigError invalid(String detail) {
        return new ConfigError(ConfigError.Kind.INVALID, detail);
    }

    /** Returns the configuration after valid changes that take effect at a revision. */
    static Configuration.Builder apply(
            List<Change> changes, Configuration configuration, long revision) {
        Configuration.Builder builder = configuration.toBuilder();
        for (Change change : changes) {
            if (!applyPut(change, builder, revision)) {
                applyOther(change, builder, configuration, revision);
            }
            if (change.takesOutOfService()) {
                builder.capacityRevision(revision);
            }
        }
        return builder;
    }

    private static boolean applyPut(Change change, Configuration.Builder builder, long revision) {
        if (change instanceof Change.PutDataCentre c) {
            builder.put(c.dataCentre(), revision);
        } else if (change instanceof Change.PutGroup c) {
            builder.put(c.group(), revision);
        } else if (change instanceof Change.PutTeam c) {
            builder.put(c.team(), revision);
        } else if (change instanceof Change.PutPipeline c) {
            builder.put(c.pipeline(), revision);
        } else {
            return false;
        }
        return true;
    }

    private static void applyOther(
            Change change, Configuration.Builder builder, Configuration before, long revision) {
        if (change instanceof Change.RemoveTeam c) {
            builder.remove(c.team(), revision);
        } else if (change instanceof Change.RemovePipeline c) {
            builder.remove(c.pipeline(), revision);
        } else if (change instanceof Change.SettleJob c) {
            builder.putSettlement(c.job(), c.outcome(), revision);
        } else if (change instanceof Change.SetDataCentreService c) {
            DataCentre dataCentre = before.dataCentre(c.dataCentre()).orElseThrow();
            builder.put(dataCentre.withService(c.service()), revision);
        } else if (change instanceof Change.SetUpstreamService c) {
            setService(c, builder, revision);
        }
    }

    private static void setService(
            Change.SetUpstreamService change, Configuration.Builder builder, long revision) {
        if (change.service() == ServiceState.IN) {
            builder.remove(change.upstream(), revision);
            return;
        }
        builder.put(change.upstream(), change.service(), revision);
    }
}
