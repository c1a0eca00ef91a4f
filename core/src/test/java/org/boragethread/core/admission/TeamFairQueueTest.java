package org.boragethread.core.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.team.Priority;
import org.boragethread.model.team.TeamId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link TeamFairQueue}. */
public class TeamFairQueueTest {

    private static final AdmissionController.Listener IGNORE =
            new AdmissionController.Listener() {
                @Override
                public void onAdmitted(AdmissionController.Permit permit) {}

                @Override
                public void onRefused(Refusal refusal) {}
            };

    private TeamFairQueue mQueue;
    private long mSequence;

    @BeforeMethod
    public void createQueue() {
        mQueue = new TeamFairQueue();
        mSequence = 0;
    }

    @Test
    public void queuedTeamsAreServedInProportionToTheirWeights() {
        add("large", 3, 100);
        add("small", 1, 100);
        Map<String, Integer> served = poll(80);
        assertEquals(served.get("large").intValue(), 60, 1);
        assertEquals(served.get("small").intValue(), 20, 1);
    }

    @Test
    public void idleTeamAccumulatesNoCredit() {
        add("large", 1, 100);
        poll(50);
        add("small", 1, 50);
        Map<String, Integer> served = poll(20);
        assertEquals(served.get("large").intValue(), 10, 1);
    }

    @Test
    public void smallTeamWaitsForAtMostOneCallOfALargeTeam() {
        add("large", 1, 1000);
        poll(10);
        add("small", 1, 1);
        assertTrue(poll(2).containsKey("small"));
    }

    @Test
    public void teamsWithoutQueuedCallsAreEvicted() {
        for (int i = 0; i < 20_000; i++) {
            add("team-" + i, 1, 1);
            poll(1);
        }
        add("last", 1, 1);
        assertEquals(mQueue.drain().size(), 1);
    }

    private void add(String team, int weight, int calls) {
        for (int i = 0; i < calls; i++) {
            AdmissionRequest request =
                    new AdmissionRequest(new TeamId(team), weight, Priority.NORMAL, Long.MAX_VALUE);
            mQueue.add(new QueuedCall(request, IGNORE, mSequence++, 0));
        }
    }

    private Map<String, Integer> poll(int calls) {
        Map<String, Integer> served = new HashMap<>();
        for (int i = 0; i < calls; i++) {
            String team = mQueue.poll().orElseThrow().request().team().value();
            served.merge(team, 1, Integer::sum);
        }
        return served;
    }
}
