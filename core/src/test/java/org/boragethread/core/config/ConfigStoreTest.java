package org.boragethread.core.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.boragethread.core.log.LogRecord;
import org.boragethread.model.config.Configuration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link ConfigStore} and {@link Replication}. */
public class ConfigStoreTest {

    private static final int RECORDS = 120;
    private static final int STORES = 4;

    @DataProvider
    public Object[][] seeds() {
        Object[][] seeds = new Object[40][];
        for (int i = 0; i < seeds.length; i++) {
            seeds[i] = new Object[] {(long) i};
        }
        return seeds;
    }

    private static ConfigStore store(int maxRecords) {
        return new ConfigStore(maxRecords, 1024 * 1024);
    }

    /** Updates a store with random records of the log, or with the response of a peer. */
    private static void updateFromLogOrPeer(
            ConfigStore store, ConfigStore peer, List<LogRecord> log, Random random) {
        if (random.nextInt(3) == 0) {
            int from = (int) Math.max(0, store.current().revision() + 1 - random.nextInt(3));
            int to = Math.min(log.size(), from + random.nextInt(6));
            store.applyRecords(log.subList(Math.min(from, to), to));
            return;
        }
        long after = store.current().revision() - random.nextInt(5) + random.nextInt(5);
        new Replication(peer).response(after).ifPresent(a -> apply(store, a));
    }

    private static void apply(ConfigStore store, ReplicationResponse response) {
        Replication.Receiver receiver = new Replication(store).receiver();
        if (response instanceof ReplicationResponse.Delta d) {
            receiver.receive(d.delta());
            return;
        }
        ((ReplicationResponse.Snapshot) response).parts().forEach(receiver::receive);
    }

    @Test(dataProvider = "seeds")
    public void storesConvergeWhateverTheOrderOfUpdates(long seed) {
        Random random = new Random(seed);
        List<LogRecord> log = TestConfigs.records(RECORDS, random);
        List<ConfigStore> stores = new ArrayList<>();
        for (int i = 0; i < STORES; i++) {
            stores.add(store(1 + random.nextInt(30)));
        }
        for (int step = 0; step < 400; step++) {
            ConfigStore store = stores.get(random.nextInt(STORES));
            ConfigStore peer = stores.get(random.nextInt(STORES));
            Configuration before = store.current();
            updateFromLogOrPeer(store, peer, log, random);
            assertTrue(store.current().revision() >= before.revision(), "revision decreased");
        }
        ConfigStore reference = store(1);
        assertTrue(reference.applyRecords(log).isRight());
        for (ConfigStore store : stores) {
            assertTrue(store.applyRecords(tail(log, store)).isRight());
            assertEquals(
                    ConfigCodec.hashOf(store.current()), ConfigCodec.hashOf(reference.current()));
        }
    }

    private static List<LogRecord> tail(List<LogRecord> log, ConfigStore store) {
        return log.subList((int) store.current().revision() + 1, log.size());
    }

    @Test
    public void listenersSeeRevisionsInOrder() {
        List<Long> revisions = new ArrayList<>();
        ConfigStore store = store(10);
        store.addListener(
                new ConfigListener() {
                    @Override
                    public void onConfiguration(Configuration configuration) {
                        revisions.add(configuration.revision());
                    }
                });
        List<LogRecord> log = TestConfigs.records(20, new Random(1));
        store.applyRecords(log.subList(0, 5));
        store.applyRecords(log.subList(3, 5));
        store.applyRecords(log.subList(4, 20));
        assertEquals(revisions, List.of(4L, 19L));
    }

    @Test
    public void recordsAfterAGapAreNotApplied() {
        ConfigStore store = store(10);
        List<LogRecord> log = TestConfigs.records(20, new Random(1));
        ConfigError error = store.applyRecords(log.subList(5, 20)).getLeft();
        assertEquals(error.kind(), ConfigError.Kind.GAP);
        assertEquals(store.current().revision(), Configuration.NO_REVISION);
    }

    @Test
    public void snapshotThatDiffersFromTheStoreIsCounted() {
        ConfigStore store = store(10);
        List<LogRecord> log = TestConfigs.records(10, new Random(1));
        store.applyRecords(log);
        ConfigSnapshotPart matching = SnapshotFormat.split(store.current(), 100_000).get(0);
        ConfigSnapshotPart differing =
                new ConfigSnapshotPart(
                        matching.revision(), 0, 1, matching.data(), matching.contentHash() + 1);
        store.applyRecords(List.of(record(10, matching)));
        assertEquals(store.snapshotMismatches(), 0);
        store.applyRecords(List.of(record(11, differing)));
        assertEquals(store.snapshotMismatches(), 1);
        assertEquals(store.current().revision(), 11);
    }

    private static LogRecord record(long offset, ConfigSnapshotPart part) {
        byte[] data = ConfigCodec.writeRecord(new ConfigRecord.SnapshotPart(part));
        return new LogRecord(offset, offset, "snapshot-a", data);
    }

    @Test
    public void longDeltaIsTruncatedAndTheRestFollows() {
        ConfigStore store = store(200);
        store.applyRecords(TestConfigs.records(100, new Random(3)));
        ConfigDelta first = store.delta(Configuration.NO_REVISION, 10_000).orElseThrow();
        assertTrue(first.revision() < 99, "revision: " + first.revision());
        ConfigStore peer = store(200);
        peer.applyDelta(first);
        for (int i = 0; i < 100 && peer.current().revision() < 99; i++) {
            peer.applyDelta(store.delta(peer.current().revision(), 10_000).orElseThrow());
        }
        assertEquals(ConfigCodec.hashOf(peer.current()), ConfigCodec.hashOf(store.current()));
    }

    @Test
    public void storeThatHasOnlyPartOfAPeersRecordsIsNotLoaded() {
        ConfigStore peer = store(200);
        peer.applyRecords(TestConfigs.records(100, new Random(3)));
        ConfigStore store = store(200);
        Replication.Receiver receiver = new Replication(store).receiver();
        long pullAfter = receiver.pullAfter(peer.current().revision()).orElseThrow();
        receiver.receive(peer.delta(pullAfter, 10_000).orElseThrow());
        assertFalse(store.isLoaded());
        receiver.receive(peer.delta(store.current().revision(), 1024 * 1024).orElseThrow());
        assertTrue(store.isLoaded());
    }

    @Test
    public void peersThatAreFarBehindShareOneSnapshot() {
        ConfigStore store = store(5);
        store.applyRecords(TestConfigs.records(50, new Random(3)));
        Replication replication = new Replication(store);
        Optional<ReplicationResponse> first = replication.response(Configuration.NO_REVISION);
        Optional<ReplicationResponse> second = replication.response(3);
        List<ConfigSnapshotPart> parts =
                ((ReplicationResponse.Snapshot) first.orElseThrow()).parts();
        List<ConfigSnapshotPart> others =
                ((ReplicationResponse.Snapshot) second.orElseThrow()).parts();
        assertTrue(parts.get(0) == others.get(0));
        assertEquals(replication.response(49), Optional.empty());
    }
}
