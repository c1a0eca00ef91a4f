package org.boragethread.core.stage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.boragethread.core.member.Member;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.upstream.GroupId;
import org.testng.annotations.Test;

/** Tests {@link CoordinatorTable}. */
public class CoordinatorTableTest {

    private static final DataCentreId NORTH = new DataCentreId("north");
    private static final GroupId GROUP = new GroupId("pieces");

    private final ManualTimeSource mTime = new ManualTimeSource();

    /** Creates a table of members that all started at the same time. */
    private CoordinatorTable table(String... addresses) {
        return table(Stream.of(addresses).map(address -> member(address, 0, 57)).toList());
    }

    private CoordinatorTable table(List<Member> members) {
        CoordinatorTable table = new CoordinatorTable(mTime, NORTH);
        table.setMembers(members);
        return table;
    }

    private static Member member(String address, long startedAt, int capacity) {
        return new Member(address, startedAt, capacity, NORTH);
    }

    @Test
    public void coordinatorDoesNotDependOnTheOrderOfMembers() {
        assertEquals(
                table("a", "b", "c").coordinator(GROUP), table("c", "a", "b").coordinator(GROUP));
    }

    @Test
    public void groupsAreDistributedOverOneInSixteenEntries() {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < 64; i++) {
            members.add(member("entry-" + i, 1000 + i, 57));
        }
        CoordinatorTable table = table(members);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            used.add(table.coordinator(new GroupId("group-" + i)).orElseThrow());
        }
        assertEquals(used, Set.of("entry-0", "entry-1", "entry-2", "entry-3"));
    }

    /** Entry VMs of one data centre differ by five times in their capacity. */
    @Test
    public void smallEntriesDoNotCoordinate() {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < 16; i++) {
            members.add(member("small-" + i, 1000 + i, 27));
            members.add(member("large-" + i, 2000 + i, 150));
        }
        CoordinatorTable table = table(members);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            used.add(table.coordinator(new GroupId("group-" + i)).orElseThrow());
        }
        assertEquals(used, Set.of("large-0", "large-1"));
    }

    @Test
    public void newEntryTakesNoGroupFromALiveCoordinator() {
        List<Member> before = List.of(member("c", 10, 57), member("d", 20, 57));
        String coordinator = table(before).coordinator(GROUP).orElseThrow();
        for (String newcomer : List.of("a", "b", "e", "f")) {
            List<Member> after = new ArrayList<>(before);
            after.add(member(newcomer, 30, 57));
            assertEquals(table(after).coordinator(GROUP).orElseThrow(), coordinator);
        }
    }

    @Test
    public void restartedEntryCountsAsTheLatestToStart() {
        CoordinatorTable table =
                table(List.of(member("a", 10, 57), member("b", 20, 57), member("a", 30, 57)));
        assertEquals(table.coordinator(GROUP).orElseThrow(), "b");
    }

    @Test
    public void avoidedMemberIsNotCoordinatorForAWhile() {
        CoordinatorTable table = table("a", "b", "c");
        String first = table.coordinator(GROUP).orElseThrow();
        table.avoid(first);
        assertNotEquals(table.coordinator(GROUP).orElseThrow(), first);
        mTime.advance(Duration.ofSeconds(2));
        assertEquals(table.coordinator(GROUP).orElseThrow(), first);
    }

    @Test
    public void withoutMembersThereIsNoCoordinator() {
        assertTrue(table().coordinator(GROUP).isEmpty());
    }

    /**
     * A data centre is cut off from the others. Its entries must not ask one entry of the others
     * after the other, and must agree, since their upstreams are few.
     */
    @Test
    public void entriesOfADataCentreThatIsCutOffAgreeAfterTwoFailures() {
        DataCentreId south = new DataCentreId("south");
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < 33; i++) {
            members.add(new Member("entry-" + i, 1000 + i, 150, i % 6 == 5 ? south : NORTH));
        }
        Set<String> used = new HashSet<>();
        for (int entry = 0; entry < 5; entry++) {
            CoordinatorTable table = new CoordinatorTable(mTime, south);
            table.setMembers(members);
            int failures = 0;
            String coordinator = table.coordinator(GROUP).orElseThrow();
            while (!isIn(south, members, coordinator)) {
                table.avoid(coordinator);
                failures++;
                coordinator = table.coordinator(GROUP).orElseThrow();
            }
            assertTrue(failures <= 2, failures + " entries that cannot be reached were asked");
            used.add(coordinator);
        }
        assertEquals(used.size(), 1);
    }

    private static boolean isIn(DataCentreId dataCentre, List<Member> members, String address) {
        return members.stream()
                .anyMatch(
                        member ->
                                member.address().equals(address)
                                        && member.dataCentre().equals(dataCentre));
    }

    @Test
    public void memberThatFailsAgainIsAvoidedForLonger() {
        CoordinatorTable table = table("a", "b", "c");
        String first = table.coordinator(GROUP).orElseThrow();
        table.avoid(first);
        mTime.advance(Duration.ofMillis(1600));
        table.avoid(first);
        mTime.advance(Duration.ofMillis(2900));
        assertNotEquals(table.coordinator(GROUP).orElseThrow(), first);
        mTime.advance(Duration.ofMillis(200));
        assertEquals(table.coordinator(GROUP).orElseThrow(), first);
    }

    // Guards against entries that divide a group for seconds after one late response, and against
    // requests that are delayed again and again by an entry that responds too late.
    @Test
    public void memberThatRespondsAfterAllIsAvoidedOnlyIfThatHappensAgain() {
        CoordinatorTable table = table("a", "b", "c");
        String first = table.coordinator(GROUP).orElseThrow();
        table.avoid(first);
        table.onResponse(first);
        assertEquals(table.coordinator(GROUP).orElseThrow(), first);
        mTime.advance(Duration.ofMillis(300));
        table.avoid(first);
        table.onResponse(first);
        mTime.advance(Duration.ofMillis(2900));
        assertNotEquals(table.coordinator(GROUP).orElseThrow(), first);
    }

    @Test
    public void onlyEntryOfACutOffDataCentreCoordinatesItself() {
        CoordinatorTable table = new CoordinatorTable(mTime, new DataCentreId("south"));
        table.setMembers(List.of(member("a", 10, 57), member("b", 20, 57), member("c", 30, 57)));
        table.avoid("a");
        table.avoid("b");
        assertTrue(table.coordinator(GROUP).isEmpty());
    }
}
