package org.boragethread.core.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.routing.UpstreamAnnouncement;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link UpstreamDirectory}. */
public class UpstreamDirectoryTest {

    private static final GroupId GROUP = new GroupId("engines");

    private ManualTimeSource mTime;
    private UpstreamDirectory mDirectory;

    @BeforeMethod
    public void makeDirectory() {
        mTime = new ManualTimeSource();
        mDirectory = new UpstreamDirectory(mTime);
        mDirectory.put(UpstreamEntries.of("a", "engines", "north"));
        mDirectory.put(UpstreamEntries.of("b", "engines", "north"));
    }

    private int groupSize() {
        return mDirectory.of(GROUP).size();
    }

    @Test
    public void removalTakesEffectAtOnceWhileTheStoreIsAvailable() {
        mDirectory.remove(new UpstreamId("a"));
        assertEquals(groupSize(), 1);
    }

    @Test
    public void announcementThatExpiredDuringAnOutageStaysForTheGracePeriod() {
        mDirectory.onStoreUnavailable();
        mTime.advance(Duration.ofSeconds(5));
        mDirectory.onStoreAvailable();
        mDirectory.remove(new UpstreamId("a"));
        assertEquals(groupSize(), 2);
        mTime.advance(Duration.ofMillis(2100));
        assertEquals(groupSize(), 2);
        mTime.advance(Duration.ofMillis(200));
        assertEquals(groupSize(), 1);
    }

    @Test
    public void renewedAnnouncementStaysAfterTheGracePeriod() {
        mDirectory.onStoreUnavailable();
        mDirectory.onStoreAvailable();
        mDirectory.remove(new UpstreamId("a"));
        mTime.advance(Duration.ofMillis(1500));
        mDirectory.put(UpstreamEntries.of("a", "engines", "north"));
        mTime.advance(Duration.ofSeconds(10));
        assertEquals(groupSize(), 2);
    }

    @Test
    public void replaceAllRemovesUpstreamsThatAreMissing() {
        mDirectory.replaceAll(List.of(UpstreamEntries.of("c", "engines", "south")));
        assertEquals(groupSize(), 1);
        assertEquals(mDirectory.of(GROUP).get(0).entry().id(), new UpstreamId("c"));
    }

    @Test
    public void upstreamThatChangesItsGroupIsFoundInTheNewGroup() {
        mDirectory.put(UpstreamEntries.of("a", "orders", "north"));
        assertEquals(groupSize(), 1);
        assertEquals(mDirectory.of(new GroupId("orders")).size(), 1);
    }

    /** Upstreams whose announcements an older copy of the store lacked were dropped at once. */
    @Test
    public void announcementMissingInOlderCopyStaysForTheGracePeriod() {
        mDirectory.onStoreRestored();
        mDirectory.replaceAll(List.of(UpstreamEntries.of("a", "engines", "north")));
        assertEquals(groupSize(), 2);
        mTime.advance(Duration.ofMillis(2300));
        assertEquals(groupSize(), 1);
    }

    /** An upstream got requests again when an older copy of the store still said 'ready'. */
    @Test
    public void leavingEndsOnlyWithAnotherIncarnation() {
        mDirectory.put(UpstreamEntries.of("a", "engines", "north", true, 0));
        mDirectory.find(new UpstreamId("b")).orElseThrow().markLeaving();
        mDirectory.replaceAll(
                List.of(
                        UpstreamEntries.of("a", "engines", "north"),
                        UpstreamEntries.of("b", "engines", "north")));
        assertTrue(isLeaving("a") && isLeaving("b"));
        mDirectory.remove(new UpstreamId("b"));
        mDirectory.put(UpstreamEntries.of("b", "engines", "north"));
        assertTrue(isLeaving("b"), "the announcement was removed in between");
        mDirectory.put(restarted(UpstreamEntries.of("b", "engines", "north")));
        assertFalse(isLeaving("b"));
    }

    @Test
    public void pauseOutlivesAnnouncementAndEndsWithIncarnation() {
        UpstreamNode node = mDirectory.find(new UpstreamId("a")).orElseThrow();
        node.pauseUntil(mTime.nanoTime() + Duration.ofSeconds(9).toNanos());
        mDirectory.remove(new UpstreamId("a"));
        mDirectory.put(UpstreamEntries.of("a", "engines", "north"));
        node = mDirectory.find(new UpstreamId("a")).orElseThrow();
        assertTrue(node.isPaused(mTime.nanoTime()));
        mDirectory.put(restarted(UpstreamEntries.of("a", "engines", "north")));
        assertFalse(node.isPaused(mTime.nanoTime()));
    }

    // Guards against a restart that is hidden by an announcement without a start time.
    @Test
    public void marksHoldWithoutAStartTimeAndEndWithALaterOne() {
        mDirectory.put(started(7));
        UpstreamNode node = mDirectory.find(new UpstreamId("a")).orElseThrow();
        node.pauseUntil(mTime.nanoTime() + Duration.ofSeconds(9).toNanos());
        node.markLeaving();
        mDirectory.put(started(-1));
        mDirectory.put(started(6));
        mDirectory.put(started(7));
        assertTrue(node.isPaused(mTime.nanoTime()));
        assertTrue(node.isLeaving());
        mDirectory.put(started(-1));
        mDirectory.put(started(8));
        assertFalse(node.isPaused(mTime.nanoTime()));
        assertFalse(node.isLeaving());
    }

    /** Returns an announcement with a start time, or without one if it is negative. */
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
                millis < 0 ? Optional.empty() : Optional.of(millis),
                entry.softwareVersion());
    }

    // Guards against streams that go on at an upstream whose software may have changed unnoticed.
    @Test
    public void softwareVersionIsUncertainUntilAnUnreachableUpstreamIsAnnouncedAgain() {
        mDirectory.put(UpstreamEntries.of("a", "engines", "north"));
        UpstreamNode node = mDirectory.find(new UpstreamId("a")).orElseThrow();
        assertTrue(node.softwareVersion().isPresent());
        node.doubtRun(mTime.nanoTime());
        mDirectory.put(UpstreamEntries.of("a", "engines", "north"));
        mDirectory.onUpToDate(mTime.nanoTime() + Duration.ofSeconds(1).toNanos());
        assertFalse(node.softwareVersion().isPresent());
        mDirectory.onUpToDate(mTime.nanoTime() + Duration.ofSeconds(3).toNanos());
        assertTrue(node.softwareVersion().isPresent());
        node.doubtRun(mTime.nanoTime());
        mDirectory.put(restarted(UpstreamEntries.of("a", "engines", "north")));
        assertTrue(node.softwareVersion().isPresent());
    }

    // Guards against the version of an earlier run that an older copy of the store brings back.
    @Test
    public void softwareVersionIsUncertainAfterAnOlderAnnouncement() {
        mDirectory.put(restarted(UpstreamEntries.of("a", "engines", "north")));
        UpstreamNode node = mDirectory.find(new UpstreamId("a")).orElseThrow();
        mDirectory.put(UpstreamEntries.of("a", "engines", "north"));
        assertFalse(node.softwareVersion().isPresent());
        mDirectory.put(restarted(UpstreamEntries.of("a", "engines", "north")));
        assertTrue(node.softwareVersion().isPresent());
        mDirectory.onStoreRestored();
        mDirectory.replaceAll(List.of(restarted(UpstreamEntries.of("a", "engines", "north"))));
        assertFalse(node.softwareVersion().isPresent());
    }

    // Guards against an announcement of a run that ended while this process was down.
    @Test
    public void announcementsAreSettledOnceRunsBeforeTheFirstReadAreAnnounced() {
        long readAt = mTime.nanoTime();
        mDirectory.replaceAll(List.of(UpstreamEntries.of("a", "engines", "north")));
        mDirectory.onUpToDate(readAt);
        mDirectory.onUpToDate(readAt + Duration.ofMillis(2100).toNanos());
        assertFalse(mDirectory.isSettled());
        mDirectory.onUpToDate(readAt + UpstreamDirectory.RENEWAL_GRACE.toNanos());
        assertTrue(mDirectory.isSettled());
    }

    // Guards against the end of a pause that never comes, as the upstream has started again.
    @Test
    public void pauseOfAnUpstreamThatStartedAgainIsOver() {
        mDirectory.put(started(1));
        UpstreamNode node = mDirectory.find(new UpstreamId("a")).orElseThrow();
        node.pauseUntil(mTime.nanoTime() + Duration.ofSeconds(5).toNanos());
        assertEquals(node.pauseTime(mTime.nanoTime()), Duration.ofSeconds(5));
        mDirectory.put(started(2));
        assertEquals(node.pauseTime(mTime.nanoTime()), Duration.ZERO);
    }

    private boolean isLeaving(String id) {
        return mDirectory.find(new UpstreamId(id)).orElseThrow().isLeaving();
    }

    private static UpstreamAnnouncement restarted(UpstreamAnnouncement entry) {
        return new UpstreamAnnouncement(
                entry.id(),
                entry.group(),
                entry.host(),
                entry.port(),
                entry.dataCentre(),
                false,
                0,
                Optional.of(2L),
                entry.softwareVersion());
    }
}
