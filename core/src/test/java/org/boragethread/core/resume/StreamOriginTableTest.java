package org.boragethread.core.resume;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.SoftwareVersion;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what an entry remembers of streams. */
public class StreamOriginTableTest {

    private static final GroupId ENGINES = new GroupId("engines");
    private static final long CONTENT = 7;
    private static final StreamKey KEY = StreamKey.of("team", "id", CONTENT);

    private final ManualTimeSource mTime = new ManualTimeSource();
    private StreamOriginTable mTable;

    @BeforeMethod
    public void createTable() {
        mTable = new StreamOriginTable(mTime);
    }

    private static StreamOrigin origin(String version) {
        return new StreamOrigin(ENGINES, Optional.of(new SoftwareVersion(version)));
    }

    // Guards against a guess between two reports that contradict each other.
    @Test
    public void reportsThatDifferLeaveTheVersionUncertain() {
        mTable.put(KEY, origin("v1"));
        mTable.put(KEY, origin("v1"));
        assertEquals(mTable.find(KEY), Optional.of(origin("v1")));
        mTable.put(KEY, origin("v2"));
        mTable.put(KEY, origin("v2"));
        assertEquals(mTable.find(KEY).flatMap(StreamOrigin::version), Optional.empty());
    }

    // Guards against a stream that goes on at an announced version before it is confirmed.
    @Test
    public void provisionalVersionIsNotUsedUntilItIsConfirmed() {
        StreamOrigin provisional = new StreamOrigin(ENGINES, origin("v1").version(), true);
        mTable.put(KEY, provisional);
        assertEquals(mTable.find(KEY), Optional.of(provisional));
        assertEquals(provisional.versionIn(ENGINES), Optional.empty());
        mTable.put(KEY, origin("v1"));
        assertEquals(mTable.find(KEY), Optional.of(origin("v1")));
    }

    // Guards against one of two entries that confirms what the other one has not confirmed yet.
    @Test
    public void versionIsProvisionalUntilEachReportIsConfirmed() {
        StreamOrigin provisional = new StreamOrigin(ENGINES, origin("v1").version(), true);
        mTable.put(KEY, provisional);
        mTable.put(KEY, provisional);
        mTable.put(KEY, origin("v1"));
        assertEquals(mTable.find(KEY), Optional.of(provisional));
        mTable.put(KEY, new StreamOrigin(ENGINES, Optional.empty()));
        assertEquals(mTable.find(KEY).flatMap(StreamOrigin::version), Optional.empty());
    }

    // Guards against a report whose confirmation was lost and that contradicts other owners.
    @Test
    public void versionThatIsNotConfirmedInTimeIsNotKnown() {
        mTable.put(KEY, new StreamOrigin(ENGINES, origin("v1").version(), true));
        mTime.advance(StreamOriginTable.PROVISIONAL_TIME);
        assertEquals(mTable.find(KEY), Optional.empty());
    }

    // Guards against a version that is taken for certain though one of two reports is not final.
    @Test
    public void versionIsUncertainIfOneOfTwoReportsIsNotConfirmed() {
        StreamOrigin provisional = new StreamOrigin(ENGINES, origin("v1").version(), true);
        mTable.put(KEY, provisional);
        mTable.put(KEY, provisional);
        mTable.put(KEY, origin("v1"));
        mTime.advance(StreamOriginTable.PROVISIONAL_TIME);
        assertEquals(mTable.find(KEY), Optional.of(new StreamOrigin(ENGINES, Optional.empty())));
    }

    // Guards against a stream that goes on in another group, whose versions mean something else.
    @Test
    public void versionHoldsInItsGroupOnly() {
        assertTrue(origin("v1").versionIn(ENGINES).isPresent());
        assertEquals(origin("v1").versionIn(new GroupId("others")), Optional.empty());
    }

    // Guards against callers that name the streams of another team.
    @Test
    public void keysOfTeamsDiffer() {
        assertEquals(StreamKey.of("team", "id", CONTENT), KEY);
        assertNotEquals(StreamKey.of("team-2", "id", CONTENT), KEY);
        assertNotEquals(StreamKey.of("tea", "mid", CONTENT), KEY);
    }

    // Guards against callers that name the stream of another request of their team.
    @Test
    public void keysOfRequestsWithDifferentContentDiffer() {
        assertNotEquals(StreamKey.of("team", "id", CONTENT + 1), KEY);
    }

    // Guards against memory that grows with the number of streams.
    @Test
    public void oldestStreamsAreForgotten() {
        mTable.put(KEY, origin("v1"));
        mTime.advance(StreamOriginTable.LIFETIME.plus(Duration.ofSeconds(1)));
        assertEquals(mTable.find(KEY), Optional.empty());
        for (int i = 0; i <= StreamOriginTable.MAX_STREAMS; i++) {
            mTable.put(StreamKey.of("team", "id-" + i, CONTENT), origin("v1"));
        }
        assertEquals(mTable.size(), StreamOriginTable.MAX_STREAMS);
        assertEquals(mTable.find(StreamKey.of("team", "id-0", CONTENT)), Optional.empty());
        assertTrue(mTable.find(StreamKey.of("team", "id-1", CONTENT)).isPresent());
    }
}
