package org.boragethread.core.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Judges the target version of one order by the sums of all reports, by route and overall. Not
 * thread-safe.
 */
final class EvidenceReview {

    /**
     * Greatest probability to reject a good version, over all routes and looks. One half is for all
     * routes together, the other is divided among routes in the order in which they appear.
     */
    private static final double FALSE_ERROR = 0.001;

    /** Segments of the period in which a version may begin to be bad. */
    private static final int SEGMENTS = 32;

    /** Bad responses at which a version is rolled back, whatever the test says. */
    private static final int MAX_BAD = 40;

    /**
     * Bad responses in excess, of which those of one crash count three times in each second, that
     * the limit needs too: one crash in flight at the end of a second has six. With 40, a bad
     * version was completed (2 entries, seed 1), as nothing else rolls back while switching.
     */
    private static final int MIN_LIMITED_BAD = 9;

    private static final int MIN_RESPONSES = 30;
    private static final int MIN_ROUTE_RESPONSES = 5;

    /** Share of the traffic from which a route must have been tried. */
    private static final double MIN_ROUTE_SHARE = 0.05;

    private final VersionComparison mOverall =
            new VersionComparison(new SequentialTest(FALSE_ERROR / 2, SEGMENTS));
    private final Map<String, RouteReview> mRoutes = new TreeMap<>();
    private RolloutEvidence mKnown = RolloutEvidence.NONE;

    /**
     * Adds what is new in the sums.
     *
     * @param elapsedShare elapsed part of the period of the order
     */
    void update(RolloutEvidence sums, long nowMillis, double elapsedShare) {
        int segments = 1 + (int) (Math.max(0, elapsedShare) * SEGMENTS);
        mOverall.beginSegments(segments);
        RolloutEvidence added = sums.minus(mKnown);
        mKnown = sums;
        for (String route : added.routes()) {
            RouteReview review =
                    mRoutes.computeIfAbsent(route, key -> new RouteReview(routeError()));
            review.mComparison.beginSegments(segments);
            review.add(
                    added.counts(route, VersionSide.OLD),
                    added.counts(route, VersionSide.TARGET),
                    nowMillis,
                    mOverall);
        }
    }

    private double routeError() {
        int rank = mRoutes.size() + 1;
        // The sum of 1 / (n (n + 1)) over all ranks is 1.
        return FALSE_ERROR / 2 / (rank * (rank + 1));
    }

    /** Returns the verdicts: overall first, then by route. */
    List<Verdict> verdicts() {
        List<Verdict> verdicts = new ArrayList<>();
        verdicts.add(verdict("", mOverall, bad(), expected(), responses()));
        mRoutes.forEach(
                (route, review) ->
                        verdicts.add(
                                verdict(
                                        route,
                                        review.mComparison,
                                        review.mBad,
                                        review.mExpected,
                                        review.mResponses)));
        return verdicts;
    }

    private Verdict verdict(
            String route, VersionComparison comparison, long bad, double expected, long responses) {
        // The limit is on all bad responses, so that it does not depend on how many routes there
        // are.
        boolean isOverLimit =
                route.isEmpty()
                        && bad >= MAX_BAD
                        && 2 * expected < bad
                        && limitedBad() >= expected + MIN_LIMITED_BAD;
        Verdict.Kind kind = Verdict.Kind.UNDECIDED;
        if (isOverLimit || comparison.isBad()) {
            kind = Verdict.Kind.BAD;
        } else if (comparison.isGood()) {
            kind = Verdict.Kind.GOOD;
        }
        String reason =
                String.format(
                        Locale.ROOT,
                        "%d of %d responses bad, %.1f as with the old version, log ratio %.1f%s",
                        bad,
                        responses,
                        expected,
                        comparison.logRatio(),
                        isOverLimit ? ", over the limit of bad responses" : "");
        return new Verdict(kind, route, reason);
    }

    /**
     * Returns whether the old version fails so often on some large route that nothing is decided.
     */
    boolean isDisrupted() {
        return mRoutes.values().stream()
                .anyMatch(
                        review ->
                                isLarge(review)
                                        && review.mOld.isShareKnown()
                                        && VersionComparison.isDisrupted(review.mOld));
    }

    /** Returns whether there are enough responses, overall and on each large route. */
    boolean isEnough() {
        return responses() >= MIN_RESPONSES
                && mRoutes.values().stream()
                        .allMatch(
                                review ->
                                        !isLarge(review)
                                                || review.mResponses >= MIN_ROUTE_RESPONSES);
    }

    /** Returns whether a version that is bad overall or on a large route would hardly look so. */
    boolean isGood() {
        return mOverall.isGood()
                && mRoutes.values().stream()
                        .allMatch(review -> !isLarge(review) || review.mComparison.isGood());
    }

    /** Returns whether the version is more likely bad, overall or on a large route. */
    boolean isRatherBad() {
        return mOverall.isRatherBad()
                || mRoutes.values().stream()
                        .anyMatch(review -> isLarge(review) && review.mComparison.isRatherBad());
    }

    /**
     * Returns whether there are too few responses for the test, and no more of them were bad than
     * with the old version, on any large route. Without any response of the target version, that
     * holds only if the old version had few too.
     */
    boolean hasNoExcess() {
        boolean isTried = responses() > 0 || allResponses() < MIN_RESPONSES;
        return isTried
                && !isEnough()
                && mRoutes.values().stream()
                        .filter(this::isLarge)
                        .allMatch(review -> review.mBad <= Math.round(review.mExpected));
    }

    private long allResponses() {
        return mRoutes.values().stream().mapToLong(review -> review.mAllResponses).sum();
    }

    private boolean isLarge(RouteReview review) {
        return review.mAllResponses >= MIN_ROUTE_SHARE * allResponses();
    }

    private long bad() {
        return mRoutes.values().stream().mapToLong(review -> review.mBad).sum();
    }

    /** Returns the bad responses, of which those of one crash count three times. */
    private long limitedBad() {
        return mRoutes.values().stream().mapToLong(review -> review.mLimitedBad).sum();
    }

    private double expected() {
        return mRoutes.values().stream().mapToDouble(review -> review.mExpected).sum();
    }

    private long responses() {
        return mRoutes.values().stream().mapToLong(review -> review.mResponses).sum();
    }

    /** Responses on one route. */
    private static final class RouteReview {
        private final VersionComparison mComparison;
        private final OldVersionWindow mOld = new OldVersionWindow();
        private long mAllResponses;
        private long mResponses;
        private long mBad;
        private long mLimitedBad;
        private double mExpected;

        private RouteReview(double error) {
            mComparison = new VersionComparison(new SequentialTest(error, SEGMENTS));
        }

        private void add(
                VersionCounts old,
                VersionCounts target,
                long nowMillis,
                VersionComparison overall) {
            mOld.add(old, nowMillis);
            mAllResponses += old.responses() + target.responses();
            mResponses += target.responses();
            mBad += target.allFailures() + mOld.slow(target);
            mExpected += target.responses() * mOld.allBadShare();
            long bad = mOld.bad(target);
            mLimitedBad += bad;
            long responses = OldVersionWindow.responses(target);
            mComparison.add(bad, responses, mOld);
            overall.add(bad, responses, mOld);
        }
    }
}
