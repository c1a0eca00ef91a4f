package org.boragethread.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.boragethread.core.callback.Supervisors;
import org.testng.annotations.Test;

/** Tests the order of {@link PlacementQueue} on random requests. */
public class PlacementQueueTest {

    private static final int SEEDS = 50;
    private static final long MILLI = 1_000_000;

    /** A time at which all requests can meet their targets. */
    private static final long NOW = -10_000 * MILLI;

    private static WaitingRequest waiting(
            int number, int priority, String team, SplittableRandom r) {
        double work = team.isEmpty() ? 10 + r.nextInt(500) : 100;
        PlacementRequest request =
                PlacementRequest.builder(new PlacementKey("e", "r" + number, 1))
                        .priority(priority)
                        .team(team)
                        .firstEventBy(r.nextInt(2000) * MILLI, 60_000 * MILLI)
                        .expiry(60_000 * MILLI)
                        .build();
        PlacementRecipient recipient =
                new PlacementRecipient(Supervisors.rethrowing().guard(), null);
        return new WaitingRequest(request, recipient, 0, number, work);
    }

    // Guards against late urgent requests before those in time, against priorities mixed up, and
    // against a large request that starts no earlier than a small one of the same target.
    @Test
    public void inTimeThenPriorityThenLatestStart() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            PlacementQueue queue = new PlacementQueue();
            List<WaitingRequest> expected = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                WaitingRequest waiting = waiting(i, random.nextInt(3), "", random);
                queue.add(waiting, 0);
                expected.add(waiting);
            }
            for (int i = 0; i < 20; i++) {
                queue.remove(expected.remove(random.nextInt(expected.size())).request().key());
            }
            long now = random.nextInt(2000) * MILLI;
            expected.sort(
                    Comparator.comparing(
                                    (WaitingRequest w) ->
                                            w.request().targetNanos() - w.workMillis() * MILLI
                                                    < now)
                            .thenComparing(w -> w.request().priority())
                            .thenComparing(w -> w.request().targetNanos() - w.workMillis() * MILLI)
                            .thenComparing(WaitingRequest::sequence));
            assertEquals(
                    queue.inOrder(now, 1000, queue.turn(any -> true)), expected, "seed " + seed);
        }
    }

    // Guards against a team that sends more requests, or more urgent ones, than the others and so
    // gets more than its share, also if it joins later.
    @Test
    public void teamsGetEqualSharesWhileThereIsAQueue() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            PlacementQueue queue = new PlacementQueue();
            for (int i = 0; i < 200; i++) {
                queue.add(waiting(i, 0, i % 10 == 0 ? "b" : "a", random), 0);
            }
            place(queue, 5);
            for (int i = 200; i < 220; i++) {
                queue.add(waiting(i, 0, "c", random), 0);
            }
            Map<String, Integer> placed = place(queue, 30);
            for (String team : List.of("a", "b", "c")) {
                // The turn of the oldest may give one team a placement that the others get later.
                int count = placed.getOrDefault(team, 0);
                assertTrue(Math.abs(count - 10) <= 1, "seed " + seed + ": " + placed);
            }
        }
    }

    // Guards against a request that waits for ever, since more urgent ones keep arriving.
    @Test
    public void oneOfEightPlacementsGoesToTheOldest() {
        PlacementQueue queue = new PlacementQueue();
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 5; i++) {
            queue.add(waiting(i, 9, "low", random), NOW);
        }
        int number = 5;
        for (int done = 1; done <= 5; done++) {
            for (int i = 0; i < PlacementQueue.TURN_INTERVAL; i++) {
                queue.add(waiting(number++, 0, "high" + i % 2, random), NOW);
                queue.removePlaced(queue.inOrder(NOW, 16, queue.turn(any -> true)).get(0), false);
            }
            long low = queue.all().stream().filter(w -> w.request().priority() == 9).count();
            assertEquals(low, 5 - done);
        }
    }

    private static Map<String, Integer> place(PlacementQueue queue, int count) {
        Map<String, Integer> placed = new HashMap<>();
        for (int i = 0; i < count; i++) {
            WaitingRequest next = queue.inOrder(0, 16, queue.turn(any -> true)).get(0);
            queue.removePlaced(next, false);
            placed.merge(next.request().team(), 1, Integer::sum);
        }
        return placed;
    }
}
