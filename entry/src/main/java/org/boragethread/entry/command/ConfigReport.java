package org.boragethread.entry.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.boragethread.core.configcheck.ConfigCheck;
import org.boragethread.core.configcheck.ConfigComparison;
import org.boragethread.core.configcheck.ConfigDifference;
import org.boragethread.core.configcheck.Finding;
import org.boragethread.model.routing.RoutingConfig;
import org.boragethread.platform.store.ConfigDocument;
import org.boragethread.platform.store.ConfigPaths;
import org.boragethread.platform.store.DocumentFault;

/**
 * What {@link CheckConfigCommand} prints; the fields are those of its JSON.
 *
 * @param version version of the checked configuration; null if gateways reject it
 * @param inForceVersion version of the one in force; null if none was given
 * @param findings faults of the checked configuration
 * @param differences what it would change
 */
record ConfigReport(
        Long version,
        Long inForceVersion,
        List<ReportedFinding> findings,
        List<ReportedDifference> differences) {

    record ReportedFinding(String kind, String rule, String place, String message, String remedy) {}

    record ReportedDifference(
            String kind, String object, String field, String before, String after) {}

    static ConfigReport create(ConfigDocument document, Optional<RoutingConfig> inForce) {
        List<ReportedFinding> findings = new ArrayList<>();
        document.faults().forEach(fault -> findings.add(reported(fault)));
        List<ReportedDifference> differences = new ArrayList<>();
        Optional<RoutingConfig> config = document.config();
        if (config.isPresent()) {
            List<Finding> found = new ArrayList<>();
            inForce.flatMap(before -> ConfigComparison.findOutdated(before, config.get()))
                    .ifPresent(found::add);
            found.addAll(ConfigCheck.run(config.get()));
            found.forEach(finding -> findings.add(reported(finding, document)));
            inForce.map(before -> ConfigComparison.compare(before, config.get()))
                    .orElse(List.of())
                    .forEach(difference -> differences.add(reported(difference)));
        }
        return new ConfigReport(
                config.map(RoutingConfig::version).orElse(null),
                inForce.map(RoutingConfig::version).orElse(null),
                findings,
                differences);
    }

    private static ReportedFinding reported(DocumentFault fault) {
        return new ReportedFinding(
                "error",
                fault.isRejected() ? "rejected" : "ignored",
                fault.path(),
                fault.message(),
                fault.remedy());
    }

    private static ReportedFinding reported(Finding finding, ConfigDocument document) {
        return new ReportedFinding(
                lowerCase(finding.kind()),
                finding.rule(),
                document.path(finding.place()),
                finding.message(),
                finding.remedy());
    }

    private static ReportedDifference reported(ConfigDifference difference) {
        return new ReportedDifference(
                lowerCase(difference.kind()),
                difference.object(),
                difference.field().map(ConfigPaths::path).orElse(""),
                difference.before(),
                difference.after());
    }

    private static String lowerCase(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    String toJson() {
        try {
            return new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write the report", e);
        }
    }

    String toText() {
        List<String> lines = new ArrayList<>();
        for (ReportedFinding finding : findings) {
            lines.add(
                    "%s %s: %s: %s (%s)"
                            .formatted(
                                    finding.kind(),
                                    finding.place(),
                                    finding.message(),
                                    finding.remedy(),
                                    finding.rule()));
        }
        for (ReportedDifference difference : differences) {
            String values =
                    difference.field().isEmpty()
                            ? ""
                            : " %s: %s -> %s"
                                    .formatted(
                                            difference.field(),
                                            difference.before(),
                                            difference.after());
            lines.add(difference.kind() + " " + difference.object() + values);
        }
        lines.add("%d findings, %d differences".formatted(findings.size(), differences.size()));
        return String.join(System.lineSeparator(), lines);
    }
}
