package org.boragethread.core.upstream;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import org.boragethread.core.time.ManualTimeSource;
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
}
