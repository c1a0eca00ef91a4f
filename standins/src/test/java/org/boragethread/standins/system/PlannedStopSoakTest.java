package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;

import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Runs gateway processes that are stopped, killed, paused and configured while their engines fall
 * silent. The properties {@code soak.first} and {@code soak.seeds} select the seeds, {@code
 * soak.gateways} and {@code soak.callers} the size.
 */
public class PlannedStopSoakTest {

    private static final Path LOGS = Path.of("target", "soak");

    @DataProvider
    public Object[] seeds() {
        long first = Long.getLong("soak.first", 1);
        return LongStream.range(first, first + Long.getLong("soak.seeds", 2)).boxed().toArray();
    }

    // Guards against requests that are cut off, mixed, lost or run twice around a planned stop.
    @Test(dataProvider = "seeds")
    public void everyRequestEndsWholeOrWithAReason(long seed) throws Exception {
        play(seed, Set.of());
    }

    // Guards against streams of two versions, and those above, while engines start again.
    @Test(dataProvider = "seeds")
    public void everyStreamKeepsItsVersionWhileEnginesRestart(long seed) throws Exception {
        play(seed, EnumSet.of(SoakOption.ENGINE_RESTARTS));
    }

    // Guards against the same faults while one entry places the requests of all, and is stopped,
    // killed and paused like the others.
    @Test(dataProvider = "seeds")
    public void everyRequestEndsWholeOrWithAReasonWithSharedScheduling(long seed) throws Exception {
        play(seed, EnumSet.of(SoakOption.SHARED_SCHEDULING));
    }

    private static void play(long seed, Set<SoakOption> options) throws Exception {
        int gateways = Integer.getInteger("soak.gateways", 3);
        int callers = Integer.getInteger("soak.callers", 40);
        try (SoakRun run = new SoakRun(seed, gateways, callers, options)) {
            run.run();
            SoakVerdict verdict = new SoakVerdict(run);
            Reporter.log("seed %d: %s".formatted(seed, verdict.summary()), true);
            if (!verdict.findings().isEmpty()) {
                String prefix =
                        options.stream().map(option -> option + "-").collect(Collectors.joining());
                verdict.write(LOGS.resolve(prefix + seed));
            }
            assertEquals(verdict.findings(), List.of(), "seed " + seed);
        }
    }
}
