import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers with small requests for a sound engine, each on its kept channel. Counts the requests
 * that have no answer half a second after the time limit of their route.
 */
final class Small {

    /** Time limit of the route in ms. */
    static final int TIMEOUT_MS = 1500;

    /** Rule CONFIG: the answer is due half a second after the time limit of the route. */
    static final int ANSWER_DUE_MS = TIMEOUT_MS + 500;

    private final Lab mLab;
    private final Lab.Entry mEntry;
    private final AtomicInteger mAnswered = new AtomicInteger();
    private final AtomicInteger mUnanswered = new AtomicInteger();
    private final AtomicInteger mAnsweredLate = new AtomicInteger();
    private volatile boolean mStopped;

    Small(Lab lab, Lab.Entry entry, int callers) {
        mLab = lab;
        mEntry = entry;
        for (int i = 0; i < callers; i++) {
            int caller = i;
            Lab.daemon("small-" + i, () -> run(caller));
        }
    }

    private void run(int caller) throws Exception {
        int number = 0;
        while (!mStopped) {
            String id = "small-" + caller;
            try (Lab.Caller channel = mEntry.caller()) {
                while (!mStopped) {
                    id = "small-" + caller + "-" + number++;
                    long sent = System.nanoTime();
                    channel.send(Lab.Caller.head("GET", "/a/x", id, -1));
                    Lab.Message answer = channel.read(ANSWER_DUE_MS, false);
                    if (System.nanoTime() - sent > TIMEOUT_MS * 1_000_000L) {
                        mAnsweredLate.incrementAndGet();
                    }
                    if (answer == null) {
                        mAnswered.incrementAndGet();
                        mLab.note("%s: the channel was closed without an answer", id);
                        break;
                    }
                    mAnswered.incrementAndGet();
                    if (answer.status() != 200) {
                        mLab.note("%s: %s", id, answer.first);
                    }
                    Thread.sleep(200);
                }
            } catch (java.net.SocketTimeoutException e) {
                if (!mStopped) {
                    mUnanswered.incrementAndGet();
                    mLab.note("%s: no answer after %d ms", id, ANSWER_DUE_MS);
                }
            } catch (java.io.IOException e) {
                mLab.note("%s: %s", id, e);
                Thread.sleep(300);
            }
        }
    }

    /**
     * Returns whether rule CONFIG is broken: of the requests that last longer than the time limit
     * of their route, eight or more, and over a quarter, have no answer half a second after it.
     */
    boolean isBroken() {
        mStopped = true;
        int unanswered = mUnanswered.get();
        int late = mAnsweredLate.get();
        mLab.note("small requests: %d ended, %d of them between %d and %d ms after they were sent;"
                        + " %d had no answer by then",
                mAnswered.get(), late, TIMEOUT_MS, ANSWER_DUE_MS, unanswered);
        return unanswered >= 8 && unanswered * 4 > unanswered + late;
    }
}
