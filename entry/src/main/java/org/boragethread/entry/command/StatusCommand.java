package org.boragethread.entry.command;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import org.boragethread.entry.operator.StatusReport;
import org.boragethread.process.command.ExitCode;
import org.kohsuke.args4j.Option;

/** Prints the state of an entry. */
public final class StatusCommand extends OperatorCommand {

    @Option(name = "--json", usage = "print the report as JSON")
    private boolean mJson;

    @Override
    public String summary() {
        return "prints the state of an entry and of its upstreams";
    }

    @Override
    int run(OperatorClient client) throws IOException {
        OperatorClient.Response response = client.get("/v1/status");
        if (mJson || !response.isSuccess()) {
            return print(response);
        }
        print(new ObjectMapper().readValue(response.body(), StatusReport.class), System.out);
        return ExitCode.OK;
    }

    private static void print(StatusReport report, PrintStream out) {
        out.printf("entry        %s in %s%n", report.entry(), report.dataCentre());
        out.printf("ready        %s%n", report.ready());
        out.printf("revision     %d%n", report.revision());
        StatusReport.ConfigAges ages = report.configAges();
        out.printf(
                "log          %s, newest snapshot %s%n",
                age(ages.stalenessMs(), "read to its end %d ms ago", "not read to its end yet"),
                age(ages.snapshotAgeMs(), "%d ms old", "not seen"));
        out.printf("requests     %d in progress%n", report.requests());
        out.printf("data centres %s%n", report.dataCentres());
        out.printf("pipelines    %s%n", String.join(" ", report.pipelines()));
        out.printf("teams        %d%n", report.teams());
        StatusReport.UnfinishedWork kept = report.kept();
        out.printf(
                "claims       %d open, %d not yet written%n",
                kept.openClaims(), kept.unsavedClaims());
        out.printf(
                "jobs         %d unfinished, %d held, %d here%n%n",
                kept.unfinishedJobs(), kept.heldJobs(), kept.jobsHere());
        out.printf(
                "%-20s %-16s %-14s %-8s %9s %6s %6s %6s %8s%n",
                "UPSTREAM",
                "GROUP",
                "DATA CENTRE",
                "STATE",
                "IN FLIGHT",
                "LIMIT",
                "QUEUED",
                "SENT",
                "AGE MS");
        for (StatusReport.UpstreamStatus upstream : report.upstreams()) {
            out.printf(
                    "%-20s %-16s %-14s %-8s %9d %6d %6d %6d %8d%n",
                    upstream.upstream(),
                    upstream.group(),
                    upstream.dataCentre(),
                    upstream.state(),
                    upstream.inFlight(),
                    upstream.limit(),
                    upstream.queued(),
                    upstream.sent(),
                    upstream.loadAgeMs());
        }
    }

    private static String age(long millis, String known, String unknown) {
        return millis == StatusReport.ConfigAges.NEVER ? unknown : known.formatted(millis);
    }
}
