package org.boragethread.core.placement;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.boragethread.core.callback.Supervisors;
import org.boragethread.core.member.PartitionLease;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.core.upstream.ChoiceRequest;
import org.boragethread.core.upstream.ColdRateShare;
import org.boragethread.core.upstream.RateLimitShare;
import org.boragethread.core.upstream.ResponseTimeModel;
import org.boragethread.core.upstream.UpstreamChooser;
import org.boragethread.core.upstream.UpstreamDirectory;
import org.boragethread.core.upstream.UpstreamEntries;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.routing.EngineLimits;
import org.boragethread.model.routing.RoutedGroup;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;

/**
 * Entries in front of engines that process prompts one after another at three quarters of their
 * capacity, without a network.
 */
final class PlacementSimulation {

    static final EngineLimits LIMITS = new EngineLimits(64, 440_000);
    private static final double LOAD = 0.75;
    private static final double MILLIS_PER_TOKEN = 0.03;
    private static final int MIN_TOKENS = 600;
    private static final int MAX_TOKENS = 9400;
    private static final double SLOW_SHARE = 0.15;
    private static final double SLOW_FACTOR = 2.5;
    private static final long SLOW_PERIOD = Duration.ofMillis(600).toNanos();
    private static final long OUTPUT_NANOS = Duration.ofMillis(400).toNanos();
    private static final int MEMBERS_PER_COORDINATOR = 128;
    private static final int WARM_UP = 500;

    private final Case mCase;
    private final ManualTimeSource mTime = new ManualTimeSource();
    private final List<Engine> mEngines = new ArrayList<>();
    private final Deque<Job> mShared = new ArrayDeque<>();
    private final List<Double> mMillis = new ArrayList<>();

    /** Number of entries and engines, and the kind of load. */
    record Case(int entries, int engines, boolean uneven, boolean changingSpeed, int requests) {}

    /** Time from the arrival of a request to its first event, in milliseconds. */
    record Result(double longest, double p95, double mean) {
        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT, "longest %6.0f p95 %6.0f mean %6.0f ms", longest, p95, mean);
        }
    }

    /** A request at one entry. */
    record Job(int number, int entry, long tokens, long arrivedAt) {}

    PlacementSimulation(Case simulated) {
        mCase = simulated;
        for (int i = 0; i < simulated.engines(); i++) {
            mEngines.add(new Engine(i));
        }
    }

    /** Runs requests through one shared queue from which free engines take the next one. */
    Result sharedQueue() {
        return run(
                job -> {
                    mShared.add(job);
                    mEngines.forEach(Engine::takeShared);
                });
    }

    /** Runs requests with the choice of {@link UpstreamChooser} by what each entry has sent. */
    Result blind() {
        List<BlindEntry> entries = new ArrayList<>();
        for (int i = 0; i < mCase.entries(); i++) {
            entries.add(new BlindEntry(i));
        }
        return run(job -> entries.get(job.entry()).send(job));
    }

    /** Runs requests through coordinators, with the given one-way delay of messages. */
    Result coordinated(Duration delay) {
        int count = -Math.floorDiv(-mCase.entries(), MEMBERS_PER_COORDINATOR);
        List<PlacementCoordinator> coordinators = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            List<EngineStatus> own = new ArrayList<>();
            for (int engine = i; engine < mCase.engines(); engine += count) {
                own.add(status(engine));
            }
            coordinators.add(
                    new PlacementCoordinator(
                            directory(own), false, mTime, mTime, Supervisors.rethrowing()));
        }
        return run(job -> ask(coordinators.get(job.number() % count), job, delay));
    }

    static EngineStatus status(int engine) {
        return new EngineStatus(
                new UpstreamId("engine-" + engine),
                1,
                new DataCentreId("north"),
                false,
                false,
                Optional.empty());
    }

    static EngineDirectory directory(List<EngineStatus> engines) {
        return new EngineDirectory() {
            @Override
            public List<EngineStatus> engines() {
                return engines;
            }

            @Override
            public EngineLimits limits() {
                return LIMITS;
            }
        };
    }

    private void ask(PlacementCoordinator coordinator, Job job, Duration delay) {
        PlacementKey key = new PlacementKey("entry-" + job.entry(), "r" + job.number(), 1);
        long now = mTime.nanoTime();
        PlacementRequest request =
                PlacementRequest.builder(key)
                        .tokens(job.tokens(), 100)
                        .firstEventBy(now + 20_000_000_000L, now + 60_000_000_000L)
                        .expiry(now + 120_000_000_000L)
                        .build();
        PlacementListener listener =
                new PlacementListener() {
                    @Override
                    public void onPlaced(Placement placement) {
                        mTime.schedule(delay, () -> send(placement));
                    }

                    private void send(Placement placement) {
                        long sentAt = mTime.nanoTime();
                        engine(placement.engine()).add(job, () -> report(mTime.since(sentAt)));
                    }

                    private void report(Duration response) {
                        mTime.schedule(delay, () -> coordinator.onFirstEvent(key, response));
                        mTime.schedule(
                                delay.plusNanos(OUTPUT_NANOS), () -> coordinator.onEnded(key));
                    }

                    @Override
                    public void onRefused(PlacementRefusal refusal) {
                        throw new AssertionError("refused " + refusal);
                    }
                };
        mTime.schedule(delay, () -> coordinator.place(request, listener));
    }

    private Engine engine(UpstreamId id) {
        return mEngines.get(Integer.parseInt(id.value().substring("engine-".length())));
    }

    private Result run(Consumer<Job> policy) {
        SplittableRandom random = new SplittableRandom(20_261_206);
        double[] shares = new double[mCase.entries()];
        double sum = 0;
        for (int i = 0; i < shares.length; i++) {
            sum += mCase.uneven() ? 1.0 / (i + 1) : 1;
            shares[i] = sum;
        }
        double meanMillis = MILLIS_PER_TOKEN * (MIN_TOKENS + MAX_TOKENS) / 2;
        // Processing at a speed that changes takes the harmonic mean of the speeds.
        double speed = mCase.changingSpeed() ? 1 - SLOW_SHARE + SLOW_SHARE / SLOW_FACTOR : 1;
        double perMilli = LOAD * mCase.engines() * speed / meanMillis;
        double at = 0;
        for (int i = 0; i < mCase.requests(); i++) {
            at += -Math.log(1 - random.nextDouble()) / perMilli;
            int found = Arrays.binarySearch(shares, random.nextDouble() * sum);
            int entry = Math.min(shares.length - 1, found < 0 ? -found - 1 : found);
            long nanos = (long) (at * 1e6);
            Job job = new Job(i, entry, random.nextInt(MIN_TOKENS, MAX_TOKENS), nanos);
            mTime.schedule(Duration.ofNanos(nanos), () -> policy.accept(job));
        }
        mTime.advance(Duration.ofMillis((long) at + 60_000));
        return result();
    }

    private Result result() {
        if (mMillis.size() != mCase.requests()) {
            throw new AssertionError(mMillis.size() + " of " + mCase.requests() + " completed");
        }
        double[] sorted =
                mMillis.stream().skip(WARM_UP).mapToDouble(Double::doubleValue).sorted().toArray();
        double mean = Arrays.stream(sorted).average().orElseThrow();
        return new Result(sorted[sorted.length - 1], sorted[sorted.length * 95 / 100], mean);
    }

    /** An engine; its speed in each period depends on nothing but its number and the period. */
    private final class Engine {
        private final int mNumber;
        private final Deque<Job> mJobs = new ArrayDeque<>();
        private final Deque<Runnable> mReports = new ArrayDeque<>();
        private boolean mBusy;

        Engine(int number) {
            mNumber = number;
        }

        void add(Job job, Runnable report) {
            mJobs.add(job);
            mReports.add(report);
            startNext();
        }

        void takeShared() {
            if (!mBusy && !mShared.isEmpty()) {
                add(mShared.poll(), () -> {});
            }
        }

        private void startNext() {
            if (mBusy || mJobs.isEmpty()) {
                return;
            }
            mBusy = true;
            long now = mTime.nanoTime();
            long end = end(now, mJobs.peek().tokens() * MILLIS_PER_TOKEN * 1e6);
            mTime.schedule(Duration.ofNanos(end - now), this::onProcessed);
        }

        private void onProcessed() {
            mBusy = false;
            mMillis.add((mTime.nanoTime() - mJobs.poll().arrivedAt()) / 1e6);
            mReports.poll().run();
            startNext();
            takeShared();
        }

        private long end(long start, double work) {
            long at = start;
            double left = work;
            while (true) {
                long periodEnd = (at / SLOW_PERIOD + 1) * SLOW_PERIOD;
                double slowness = slowness(at / SLOW_PERIOD);
                if (left * slowness <= periodEnd - at) {
                    return at + (long) (left * slowness);
                }
                left -= (periodEnd - at) / slowness;
                at = periodEnd;
            }
        }

        private double slowness(long period) {
            boolean slow = new Random(period * 10_007 + mNumber).nextInt(1000) < 1000 * SLOW_SHARE;
            return mCase.changingSpeed() && slow ? SLOW_FACTOR : 1;
        }
    }

    /** An entry that knows only its own requests. */
    private final class BlindEntry {
        private final UpstreamDirectory mDirectory = new UpstreamDirectory(mTime);
        private final ResponseTimeModel mTimes = new ResponseTimeModel();
        private final RoutedGroup mGroup;
        private final UpstreamChooser mChooser;

        BlindEntry(int number) {
            mGroup =
                    new RoutedGroup(
                            new GroupId("engines"),
                            "/health",
                            370,
                            Duration.ofSeconds(3),
                            0,
                            Optional.of(LIMITS),
                            Optional.empty());
            DataCentreId place = new DataCentreId("north");
            PartitionLease lease = new PartitionLease(mTime, 1, Duration.ofSeconds(5));
            ColdRateShare cold = new ColdRateShare(new ColdRateShare.ColdRateBound(1.5, 5), lease);
            RateLimitShare limits = new RateLimitShare(lease, Duration.ofSeconds(3));
            mChooser =
                    new UpstreamChooser(
                            mDirectory, mTime, place, Map.of(place, "r1"), cold, limits);
            for (int i = 0; i < mCase.engines(); i++) {
                mDirectory.put(UpstreamEntries.of("engine-" + i, "engines", "north"));
            }
        }

        /** Prefixes differ and cost nothing, so that entries break ties differently. */
        void send(Job job) {
            ChoiceRequest request =
                    new ChoiceRequest(
                            mGroup,
                            Set.of(),
                            Set.of(),
                            Optional.empty(),
                            job.number() + 1,
                            0,
                            mTimes,
                            Set.of(),
                            Optional.empty(),
                            0);
            UpstreamNode node = mChooser.choose(request).orElseThrow();
            double prefill = mTimes.prefillMillis(job.tokens());
            long sentAt = mTime.nanoTime();
            node.onSent(sentAt);
            node.prompts().onPromptSent(0, 0, LIMITS.cacheTokens(), prefill);
            engine(node.entry().id()).add(job, () -> onFirstEvent(node, job, prefill, sentAt));
        }

        private void onFirstEvent(UpstreamNode node, Job job, double prefill, long sentAt) {
            node.prompts().onPromptDone(prefill);
            double millis = mTime.since(sentAt).toNanos() / 1e6;
            node.onSuccess(mTimes.addAndCompare(job.tokens(), millis));
            mTime.schedule(Duration.ofNanos(OUTPUT_NANOS), node::onEnded);
        }
    }
}
