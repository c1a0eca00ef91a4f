package org.boragethread.core.config;

import static org.boragethread.core.config.TestConfigs.team;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.boragethread.core.log.InMemoryLog;
import org.boragethread.core.log.LogEntry;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.config.Configuration;
import org.testng.annotations.Test;

/** Tests what follows when a listener or a write of the configuration throws. */
public class ThrowingSnapshotCheckTest {

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final TestEntry mEntry = new TestEntry("entry", new InMemoryLog(mTime), mTime).start();
    private boolean mThrows;

    private void run(Duration duration) {
        // A failure that nobody handles must not end the simulated timers.
        for (long seconds = 0; seconds < duration.toSeconds(); seconds++) {
            try {
                mTime.advance(Duration.ofSeconds(1));
            } catch (IllegalStateException | StackOverflowError ignored) {
                // Its consequences are checked.
            }
        }
    }

    // Guards against a log that loses the configuration because one write of a snapshot threw.
    @Test
    public void snapshotsAreWrittenAfterAWriteThrew() {
        mEntry.mSnapshots.stop();
        run(Duration.ofSeconds(1));
        mEntry.confirm(mEntry.plan("add", team("lines", 2)));
        run(Duration.ofSeconds(2));
        List<LogEntry> written = new ArrayList<>();
        mThrows = true;
        SnapshotWriter writer =
                new SnapshotWriter(
                        mEntry.mStore,
                        (entry, timeout) -> {
                            if (mThrows) {
                                throw new IllegalStateException("write");
                            }
                            written.add(entry);
                            return new CompletableFuture<>();
                        },
                        mTime,
                        mTime,
                        SnapshotSettings.of("other", TestEntry.RETENTION),
                        1);
        writer.start();
        run(TestEntry.RETENTION);
        mThrows = false;
        run(TestEntry.RETENTION);
        assertFalse(written.isEmpty());
    }

    // Guards against a configuration that no listener learns of after one of them threw an error.
    @Test
    public void laterChangesAreReportedAfterAListenerThrewAnError() {
        List<Long> seen = new ArrayList<>();
        ConfigStore store = new ConfigStore(10, 1 << 20);
        store.addListener(
                new ConfigListener() {
                    @Override
                    public void onConfiguration(Configuration configuration) {
                        seen.add(configuration.revision());
                        if (seen.size() == 1) {
                            throw new StackOverflowError("listener");
                        }
                    }
                });
        for (long revision = 1; revision <= 3; revision++) {
            try {
                store.applySnapshot(store.current().toBuilder().revision(revision).build());
            } catch (StackOverflowError ignored) {
                // Its consequences are checked.
            }
        }
        assertEquals(seen, List.of(1L, 2L, 3L));
    }
}
