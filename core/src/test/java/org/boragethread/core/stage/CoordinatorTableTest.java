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
import org.boragethread.model.upstream.GroupId;
import org.testng.annotations.Test;

/** Tests {@link CoordinatorTable}. */
public class CoordinatorTableTest {

    private static final GroupId GROUP = new GroupId("pieces");

    private final ManualTimeSource mTime = new ManualTimeSource();

    /** Creates a table of members that all started at the same time. */
    private CoordinatorTable table(String... addresses) {
        return table(Stream.of(addresses).map(address -> new Member(address, 0, 57)).toList());
    }

    private CoordinatorTable table(List<Member> members) {
        CoordinatorTable table = new CoordinatorTable(mTime);
        table.setMembers(members);
        return table;
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
            members.add(new Member("entry-" + i, 1000 + i, 57));
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
            members.add(new Member("small-" + i, 1000 + i, 27));
            members.add(new Member("large-" + i, 2000 + i, 150));
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
        List<Member> before = List.of(new Member("c", 10, 57), new Member("d", 20, 57));
        String coordinator = table(before).coordinator(GROUP).orElseThrow();
        for (String newcomer : List.of("a", "b", "e", "f")) {
            List<Member> after = new ArrayList<>(before);
            after.add(new Member(newcomer, 30, 57));
            assertEquals(table(after).coordinator(GROUP).orElseThrow(), coordinator);
        }
    }

    @Test
    public void restartedEntryCountsAsTheLatestToStart() {
        CoordinatorTable table =
                table(
                        List.of(
                                new Member("a", 10, 57),
                                new Member("b", 20, 57),
                                new Member("a", 30, 57)));
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
}
