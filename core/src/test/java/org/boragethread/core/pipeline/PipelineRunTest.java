package org.boragethread.core.pipeline;

import static org.testng.Assert.assertEquals;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.boragethread.core.dispatch.CallHandle;
import org.boragethread.core.dispatch.CallListener;
import org.boragethread.core.dispatch.CallSummary;
import org.boragethread.core.dispatch.StageCall;
import org.boragethread.core.dispatch.UpstreamLink;
import org.boragethread.core.dispatch.UpstreamPicker;
import org.boragethread.core.retry.GiveUpReason;
import org.boragethread.core.retry.RetryDecision;
import org.boragethread.core.retry.RetryReason;
import org.boragethread.core.selection.Candidate;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.outcome.RequestId;
import org.boragethread.model.pipeline.Pipeline;
import org.boragethread.model.pipeline.PipelineId;
import org.boragethread.model.pipeline.Stage;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.team.Priority;
import org.boragethread.model.team.Team;
import org.boragethread.model.team.TeamId;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what callers receive of streams that several upstreams write. */
public class PipelineRunTest {

    private static final Duration DEADLINE = Duration.ofSeconds(2);
    private static final Stage STAGE = new Stage("write", new GroupId("g"), "/", true, true);
    private static final String EVENT_STREAM = "text/event-stream";
    private static final CallSummary NO_TIMES = new CallSummary(Duration.ZERO, Duration.ZERO);

    private final List<Link> mCalls = new ArrayList<>();
    private final StringBuilder mReceived = new StringBuilder();
    private int mMaxAttempts;

    @BeforeMethod
    public void clear() {
        mCalls.clear();
        mReceived.setLength(0);
        mMaxAttempts = 3;
    }

    private void start() {
        ManualTimeSource time = new ManualTimeSource();
        RunPolicies policies =
                new RunPolicies.Builder(time)
                        .retry((failed, budget) -> decide(failed.attempts()))
                        .build();
        PipelineController controller =
                new PipelineController(new Picker(), policies, time, (delay, task) -> () -> {});
        Pipeline pipeline = new Pipeline(new PipelineId("p"), List.of(STAGE), DEADLINE, 0.9);
        PipelineRequest request =
                new PipelineRequest(
                        new RequestId(1, 2),
                        pipeline,
                        new Team(new TeamId("team-1"), 1, 1, 1),
                        Priority.NORMAL,
                        time.nanoTime() + DEADLINE.toNanos(),
                        Optional.empty(),
                        "text/plain",
                        ByteBuffer.allocate(0),
                        true);
        controller.start(request, new Sink());
    }

    private RetryDecision decide(int attempts) {
        return attempts < mMaxAttempts
                ? new RetryDecision.Retry(Duration.ZERO, RetryReason.UPSTREAM_FAILED)
                : new RetryDecision.GiveUp(GiveUpReason.ATTEMPTS_EXHAUSTED);
    }

    /** Begins a stream of which the first upstream writes one token. */
    private void beginAndBreakOff() {
        start();
        Link first = mCalls.get(0);
        first.mListener.onHead(200, EVENT_STREAM);
        first.write("data: one\n\n");
        first.mListener.onRefused(
                Refusal.unknown(RefusalReason.UPSTREAM_FAILED, "the stream broke off"));
    }

    @DataProvider
    private static Object[][] otherResponses() {
        return new Object[][] {
            {400, "text/plain"},
            {404, "text/plain"},
            {404, EVENT_STREAM},
            {301, EVENT_STREAM},
            {200, "application/json"},
            {204, ""},
        };
    }

    // Guards against an error in the middle of a stream that seems to end with it.
    @Test(dataProvider = "otherResponses")
    public void otherResponseDoesNotContinueAStream(int status, String type) {
        beginAndBreakOff();
        Link second = mCalls.get(1);
        second.mListener.onHead(status, type);
        second.write("data: error\n\n");
        second.mListener.onEnd(NO_TIMES);
        Link third = mCalls.get(2);
        third.mListener.onHead(200, EVENT_STREAM);
        third.write("data: two\n\nevent: end\ndata:\n\n");
        third.mListener.onEnd(NO_TIMES);
        assertEquals(mReceived.toString(), "started|data: one\n\n|data: two\n\n|ended");
        assertEquals(third.mCall.resumeFrom(), 1);
    }

    @Test(dataProvider = "otherResponses")
    public void streamIsRefusedIfNoAttemptIsLeft(int status, String type) {
        mMaxAttempts = 2;
        beginAndBreakOff();
        Link second = mCalls.get(1);
        second.mListener.onHead(status, type);
        second.mListener.onEnd(NO_TIMES);
        assertEquals(mReceived.toString(), "started|data: one\n\n|refused upstream-failed NO");
    }

    @Test(dataProvider = "otherResponses")
    public void otherResponseIsTheAnswerIfNoStreamHasBegun(int status, String type) {
        start();
        Link first = mCalls.get(0);
        first.mListener.onHead(status, type);
        first.mListener.onEnd(NO_TIMES);
        assertEquals(mReceived.toString(), "response " + status);
    }

    /** Gives each attempt an upstream of its own. */
    private final class Picker implements UpstreamPicker {

        @Override
        public Optional<UpstreamLink> pick(Stage stage, long hash, Set<UpstreamId> excluded) {
            return Optional.of(new Link("u" + mCalls.size()));
        }

        @Override
        public double utilisation(Stage stage) {
            return 0;
        }
    }

    /** An upstream with one call, to which a test responds. */
    private final class Link implements UpstreamLink {

        private final String mName;
        private StageCall mCall;
        private CallListener mListener;

        Link(String name) {
            mName = name;
        }

        void write(String text) {
            mListener.onChunk(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
        }

        @Override
        public CallHandle call(StageCall call, CallListener listener) {
            mCall = call;
            mListener = listener;
            mCalls.add(this);
            return new CallHandle() {
                @Override
                public void cancel() {
                    // The test writes no further parts.
                }

                @Override
                public void grant(int chunks) {
                    // The test writes without limits.
                }
            };
        }

        @Override
        public UpstreamId upstream() {
            return new UpstreamId(mName);
        }

        @Override
        public GroupId group() {
            return STAGE.group();
        }

        @Override
        public DataCentreId dataCentre() {
            return new DataCentreId("north");
        }

        @Override
        public long incarnation() {
            return 1;
        }

        @Override
        public boolean isAccepting() {
            return true;
        }

        @Override
        public Candidate candidate(String region) {
            throw new UnsupportedOperationException("the picker chooses");
        }
    }

    /** Records what the caller receives. */
    private final class Sink implements ResponseSink {

        @Override
        public void onResponse(PipelineResponse response) {
            mReceived.append("response ").append(response.status());
        }

        @Override
        public void onStreamStart() {
            mReceived.append("started|");
        }

        @Override
        public void onStreamEvent(ByteBuffer event, Runnable onSent) {
            mReceived.append(StandardCharsets.UTF_8.decode(event)).append('|');
        }

        @Override
        public void onStreamEnd() {
            mReceived.append("ended");
        }

        @Override
        public void onRefused(Refusal refusal) {
            mReceived
                    .append("refused ")
                    .append(refusal.reason().label())
                    .append(' ')
                    .append(refusal.ran());
        }
    }
}
