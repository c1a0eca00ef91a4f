package org.boragethread.core.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.routing.UpstreamAnnouncement;
import org.boragethread.model.upstream.SoftwareVersion;
import org.boragethread.model.upstream.UpstreamId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link CalledRun}. */
public class CalledRunTest {

    private static final Duration SHORTLY = Duration.ofMillis(100);

    private ManualTimeSource mTime;
    private UpstreamDirectory mDirectory;
    private UpstreamNode mNode;

    @BeforeMethod
    public void makeDirectory() {
        mTime = new ManualTimeSource();
        mDirectory = new UpstreamDirectory(mTime);
        mDirectory.replaceAll(List.of(started(5)));
        mNode = mDirectory.find(new UpstreamId("a")).orElseThrow();
    }

    private static UpstreamAnnouncement started(long millis) {
        UpstreamAnnouncement entry = UpstreamEntries.of("a", "engines", "north");
        return new UpstreamAnnouncement(
                entry.id(),
                entry.group(),
                entry.host(),
                entry.port(),
                entry.dataCentre(),
                false,
                0,
                Optional.of(millis),
                entry.softwareVersion());
    }

    private void advanceAndRead(Duration time) {
        mTime.advance(time);
        mDirectory.onUpToDate(mTime.nanoTime());
    }

    private void settle() {
        advanceAndRead(UpstreamDirectory.RENEWAL_GRACE);
    }

    private CalledRun call() {
        return new CalledRun(mDirectory, mNode, mTime.nanoTime());
    }

    private static void assertPending(CalledRun run) {
        assertTrue(run.isPending());
        assertEquals(run.softwareVersion(), Optional.empty());
    }

    private static void assertCertain(CalledRun run) {
        assertFalse(run.isPending());
        assertEquals(run.softwareVersion(), Optional.of(new SoftwareVersion("v1")));
    }

    private static void assertUncertain(CalledRun run) {
        assertFalse(run.isPending());
        assertEquals(run.softwareVersion(), Optional.empty());
    }

    // Guards against a run that counts as the announced one before announcements are settled.
    @Test
    public void runCalledBeforeAnnouncementsAreSettledIsPendingUntilThen() {
        CalledRun run = call();
        assertPending(run);
        settle();
        assertCertain(run);
    }

    // Guards against an upstream whose announcement ended before it could be confirmed.
    @Test
    public void runThatIsRemovedBeforeAnnouncementsAreSettledStaysUncertain() {
        CalledRun run = call();
        mDirectory.remove(mNode.entry().id());
        settle();
        assertUncertain(run);
    }

    // Guards against a doubt that ends with a later one, or never.
    @Test
    public void doubtOfACallEndsAlthoughALaterOneBegins() {
        settle();
        mNode.doubtRun(mTime.nanoTime());
        CalledRun run = call();
        run.onResponse();
        assertPending(run);
        advanceAndRead(UpstreamDirectory.RENEWAL_GRACE.minus(SHORTLY));
        assertPending(run);
        mNode.doubtRun(mTime.nanoTime());
        advanceAndRead(SHORTLY);
        assertCertain(run);
    }

    // Guards against a doubt that arises between a call and its response and is overlooked.
    @Test
    public void doubtBeforeTheResponseCounts() {
        settle();
        CalledRun run = call();
        assertCertain(run);
        mNode.doubtRun(mTime.nanoTime());
        assertCertain(run);
        run.onResponse();
        assertPending(run);
    }

    // Guards against another run that is taken for the one that was called.
    @Test
    public void runIsUncertainOnceAnotherOneIsAnnounced() {
        settle();
        mNode.doubtRun(mTime.nanoTime());
        CalledRun run = call();
        mDirectory.put(started(6));
        assertUncertain(run);
        settle();
        assertUncertain(run);
    }

    // Guards against an earlier announcement that an older copy of the store brings back.
    @Test
    public void earlierAnnouncementDoesNotConfirmARun() {
        settle();
        mNode.doubtRun(mTime.nanoTime());
        CalledRun run = call();
        mDirectory.put(started(6));
        settle();
        mDirectory.put(started(5));
        assertPending(run);
        settle();
        assertEquals(run.softwareVersion(), Optional.empty());
    }

    // Guards against a run that stays uncertain after an older copy of the store.
    @Test
    public void runIsCertainOnceItIsAnnouncedAgainAfterAnOlderCopy() {
        settle();
        CalledRun run = call();
        mDirectory.put(started(4));
        assertPending(run);
        mDirectory.put(started(5));
        assertCertain(run);
    }

    private CalledRun callOf(UpstreamDirectory directory) {
        UpstreamNode node = directory.find(new UpstreamId("a")).orElseThrow();
        return new CalledRun(directory, node, mTime.nanoTime());
    }

    private UpstreamDirectory readEvery(Duration interval) {
        UpstreamDirectory directory = new UpstreamDirectory(mTime, interval);
        directory.replaceAll(List.of(started(5)));
        mTime.advance(UpstreamDirectory.RENEWAL_GRACE);
        directory.onUpToDate(ClockReading.now(mTime));
        return directory;
    }

    // Guards against a run of which nothing was read while the process stood still or was cut off.
    @Test
    public void runCalledWithOutdatedAnnouncementsIsPendingUntilTheNextReading() {
        UpstreamDirectory directory = readEvery(SHORTLY);
        assertCertain(callOf(directory));
        mTime.advance(SHORTLY);
        assertTrue(directory.isOutdated());
        CalledRun unchanged = callOf(directory);
        CalledRun restarted = callOf(directory);
        assertPending(unchanged);
        // This reading began before the call.
        directory.onUpToDate(ClockReading.now(mTime).minus(Duration.ofMillis(1)));
        assertPending(unchanged);
        directory.onUpToDate(ClockReading.now(mTime));
        assertCertain(unchanged);
        directory.put(started(6));
        assertUncertain(restarted);
    }

    // Guards against a store that is taken for readable, or for away after a single lost reading.
    @Test
    public void directoryIsCutOffOnlyWhileItIsOutdatedAndTheStoreIsAway() {
        UpstreamDirectory directory = readEvery(SHORTLY);
        directory.onStoreUnavailable();
        assertFalse(directory.isCutOff());
        mTime.advance(SHORTLY);
        assertTrue(directory.isCutOff());
        directory.onStoreAvailable();
        assertFalse(directory.isCutOff());
        assertTrue(directory.isOutdated());
    }
}
