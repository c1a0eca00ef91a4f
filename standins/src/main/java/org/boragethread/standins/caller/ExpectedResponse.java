package org.boragethread.standins.caller;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.boragethread.standins.upstream.StageOutput;

/** Computes the expected response to a request and compares. Only the last stage may stream. */
public final class ExpectedResponse {

    private static final String DATA = "data: ";

    private final List<StageProperties> mStages;

    /** Creates a checker for pipelines with these stages. */
    public ExpectedResponse(StageProperties... stages) {
        mStages = List.of(stages);
    }

    /** Returns how a successful response differs from the expected one, or empty if it is equal. */
    public Optional<String> mismatch(CallerResponse response, byte[] body) {
        byte[] input = body;
        for (StageProperties stage : mStages) {
            if (stage.tokens() > 0) {
                return streamMismatch(stage, response, input);
            }
            input =
                    StageOutput.plainResult(
                            stage.path(), response.requestId(), input, stage.resultBytes());
        }
        String expected = new String(input, StandardCharsets.UTF_8);
        return expected.equals(response.text())
                ? Optional.empty()
                : Optional.of("expected %s, was %s".formatted(expected, response.text()));
    }

    private static Optional<String> streamMismatch(
            StageProperties stage, CallerResponse response, byte[] input) {
        List<String> expected =
                List.of(
                        StageOutput.tokens(
                                stage.path(), response.requestId(), input, stage.tokens()));
        List<String> tokens = new ArrayList<>();
        boolean ended = false;
        for (String line : response.text().lines().toList()) {
            if (line.equals("event: end")) {
                ended = true;
            } else if (line.startsWith(DATA) && !ended) {
                tokens.add(line.substring(DATA.length()));
            }
        }
        if (!ended) {
            return Optional.of("the stream has no end event: " + response.text());
        }
        return expected.equals(tokens)
                ? Optional.empty()
                : Optional.of("expected %s, was %s".formatted(expected, tokens));
    }
}
