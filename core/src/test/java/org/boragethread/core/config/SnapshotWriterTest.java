package org.boragethread.core.config;

import static org.boragethread.core.config.TestConfigs.team;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.boragethread.core.log.InMemoryLog;
import org.boragethread.core.log.LogEntry;
import org.boragethread.core.log.LogRecord;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.team.TeamId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link SnapshotWriter} and {@link Bootstrap}. */
public class SnapshotWriterTest {

    private static final Duration MAX_SNAPSHOT_AGE = TestEntry.RETENTION.dividedBy(3);

    private ManualTimeSource mTime;
    private InMemoryLog mLog;
    private List<TestEntry> mEntries;

    @BeforeMethod
    public void startEntries() {
        mTime = new ManualTimeSource();
        mLog = new InMemoryLog(mTime);
        mEntries = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            mEntries.add(new TestEntry("entry-" + i, mLog, mTime).start());
        }
        mTime.advance(Duration.ofSeconds(1));
        addTeam("lines");
    }

    private void addTeam(String name) {
        TestEntry entry = mEntries.get(0);
        entry.confirm(entry.plan("add-" + name, team(name, 2)));
        mTime.advance(Duration.ofSeconds(1));
        assertTrue(entry.config().team(new TeamId(name)).isPresent());
    }

    private List<LogRecord> snapshots() {
        return mLog.records(TestEntry.STREAM).stream()
                .filter(r -> ConfigCodec.looksLikeSnapshot(r.data()))
                .toList();
    }

    private void expireAll() {
        mLog.expireBefore(TestEntry.STREAM, mEntries.get(0).config().revision() + 1);
    }

    @Test
    public void newestSnapshotIsAlwaysYoungerThanAThirdOfTheRetention() {
        mTime.advance(MAX_SNAPSHOT_AGE);
        for (int i = 0; i < 40; i++) {
            mTime.advance(Duration.ofMinutes(3));
            Duration age = mEntries.get(0).mSnapshots.newestAge().orElseThrow();
            assertTrue(age.compareTo(MAX_SNAPSHOT_AGE) < 0, "age: " + age);
        }
        assertEquals(mEntries.get(0).mStore.snapshotMismatches(), 0);
    }

    @Test
    public void entriesDoNotAllWriteEachSnapshot() {
        mTime.advance(TestEntry.RETENTION.multipliedBy(10));
        assertTrue(snapshots().size() <= 45, "snapshots: " + snapshots().size());
    }

    @Test
    public void snapshotsAreNotWrittenWhileTheLogIsDown() {
        mLog.setUnavailable(true);
        mTime.advance(TestEntry.RETENTION);
        assertEquals(snapshots().size(), 0);
        mLog.setUnavailable(false);
        mTime.advance(MAX_SNAPSHOT_AGE);
        assertFalse(snapshots().isEmpty());
    }

    @Test
    public void newEntryWithoutPeersLoadsTheSnapshotInTheLog() {
        mTime.advance(MAX_SNAPSHOT_AGE);
        addTeam("maps");
        mLog.expireBefore(TestEntry.STREAM, snapshots().get(0).offset());
        TestEntry newEntry = new TestEntry("fresh", mLog, mTime).start();
        mTime.advance(InMemoryLog.POLL_ROUND);
        assertTrue(newEntry.mStore.isLoaded());
        assertEquals(
                ConfigCodec.hashOf(newEntry.config()),
                ConfigCodec.hashOf(mEntries.get(0).config()));
    }

    @Test
    public void snapshotOlderThanTheRetainedRecordsIsNotUsed() {
        mTime.advance(MAX_SNAPSHOT_AGE);
        long expiredOffset = mEntries.get(0).config().revision() + 1;
        addTeam("maps");
        addTeam("rosters");
        List<LogRecord> snapshotRecords = new ArrayList<>(snapshots());
        mLog.expireBefore(TestEntry.STREAM, expiredOffset + 1);
        mLog.append(
                TestEntry.STREAM,
                snapshotRecords.stream().map(r -> new LogEntry(r.id(), r.data())).toList());
        TestEntry newEntry = new TestEntry("fresh", mLog, mTime).start();
        mTime.advance(InMemoryLog.POLL_ROUND);
        assertFalse(newEntry.mStore.isLoaded());
    }

    @Test
    public void entryThatMissedExpiredRecordsLoadsFromAPeer() {
        TestEntry lagging = mEntries.get(4);
        lagging.mFollower.stop();
        addTeam("maps");
        addTeam("rosters");
        expireAll();
        lagging.mPeers.add(mEntries.get(0));
        lagging.start();
        mTime.advance(InMemoryLog.POLL_ROUND);
        assertEquals(
                ConfigCodec.hashOf(lagging.config()), ConfigCodec.hashOf(mEntries.get(0).config()));
        addTeam("billing");
        assertTrue(lagging.config().team(new TeamId("billing")).isPresent());
    }

    @Test
    public void entryWithoutSnapshotAndPeerIsNotLoaded() {
        addTeam("maps");
        expireAll();
        TestEntry newEntry = new TestEntry("fresh", mLog, mTime).start();
        mTime.advance(InMemoryLog.POLL_ROUND);
        assertFalse(newEntry.mStore.isLoaded());
        newEntry.mPeers.add(mEntries.get(1));
        mTime.advance(InMemoryLog.POLL_ROUND);
        assertTrue(newEntry.mStore.isLoaded());
        assertEquals(newEntry.config().revision(), mEntries.get(1).config().revision());
    }

    @Test
    public void configurationSurvivesReplacementOfAllEntries() {
        mTime.advance(MAX_SNAPSHOT_AGE);
        long hash = ConfigCodec.hashOf(mEntries.get(0).config());
        mEntries.forEach(TestEntry::stop);
        mLog.expireBefore(TestEntry.STREAM, snapshots().get(0).offset());
        TestEntry newEntry = new TestEntry("fresh", mLog, mTime).start();
        mTime.advance(InMemoryLog.POLL_ROUND);
        assertEquals(ConfigCodec.hashOf(newEntry.config()), hash);
    }
}
