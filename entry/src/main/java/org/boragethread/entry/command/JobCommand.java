package org.boragethread.entry.command;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.boragethread.process.command.Command;
import org.boragethread.process.command.ExitCode;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Submits, shows, lists and cancels jobs through an entry. */
public final class JobCommand implements Command {

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final int FIRST_ERROR_STATUS = 300;

    @Argument(
            index = 0,
            required = true,
            metaVar = "ACTION",
            usage = "submit, status, list or cancel")
    private Action mAction;

    @Argument(index = 1, metaVar = "JOB", usage = "identifier of the job to show or cancel")
    private String mJob = "";

    @Option(
            name = "--entry",
            required = true,
            metaVar = "IP:PORT",
            usage = "address of an entry for callers")
    private String mEntry;

    @Option(
            name = "--team",
            metaVar = "TEAM",
            usage = "team that submits the job, or whose jobs are listed")
    private String mTeam = "";

    @Option(name = "--pipeline", metaVar = "NAME", usage = "pipeline to run")
    private String mPipeline = "";

    @Option(name = "--key", metaVar = "KEY", usage = "idempotency key of a submission")
    private String mKey = "";

    @Option(name = "--type", metaVar = "TYPE", usage = "media type of the body")
    private String mType = "application/json";

    @Option(name = "--body", metaVar = "FILE", usage = "body, or - for standard input")
    private String mBody = "-";

    @Override
    public String summary() {
        return "submits, shows (status), lists or cancels jobs";
    }

    @Override
    public int run() {
        try {
            return send(request());
        } catch (IOException e) {
            System.err.printf(
                    "entry %s: %s: check the address and whether the entry is running%n",
                    mEntry, e);
            return ExitCode.FAILED;
        } catch (IllegalArgumentException e) {
            System.err.printf("%s: check --entry, --pipeline and JOB%n", e.getMessage());
            return ExitCode.USAGE;
        }
    }

    private HttpRequest request() throws IOException {
        switch (mAction) {
            case SUBMIT:
                return submission();
            case LIST:
                return requestTo("/v1/jobs?team=" + mTeam).GET().build();
            case CANCEL:
                return requestTo("/v1/jobs/" + mJob).DELETE().build();
            default:
                return requestTo("/v1/jobs/" + mJob).GET().build();
        }
    }

    private HttpRequest submission() throws IOException {
        byte[] body =
                "-".equals(mBody) ? System.in.readAllBytes() : Files.readAllBytes(Path.of(mBody));
        HttpRequest.Builder request =
                requestTo("/v1/pipelines/" + mPipeline + "/jobs")
                        .header("Team", mTeam)
                        .header("Content-Type", mType)
                        .POST(HttpRequest.BodyPublishers.ofByteArray(body));
        if (!mKey.isEmpty()) {
            request.header("Idempotency-Key", mKey);
        }
        return request.build();
    }

    private HttpRequest.Builder requestTo(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + mEntry + path)).timeout(TIMEOUT);
    }

    private static int send(HttpRequest request) throws IOException {
        HttpClient client =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(CONNECT_TIMEOUT)
                        .build();
        try {
            HttpResponse<byte[]> response =
                    client.send(request, HttpResponse.BodyHandlers.ofByteArray());
            boolean isSuccess = response.statusCode() < FIRST_ERROR_STATUS;
            String text = new String(response.body(), StandardCharsets.UTF_8);
            (isSuccess ? System.out : System.err).println(text);
            return isSuccess ? ExitCode.OK : ExitCode.FAILED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while waiting for " + request.uri(), e);
        }
    }

    /** Operation on a job. */
    enum Action {
        SUBMIT,
        STATUS,
        LIST,
        CANCEL
    }
}
