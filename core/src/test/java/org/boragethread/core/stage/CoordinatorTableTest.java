package org.boragethread.core.stage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.upstream.GroupId;
import org.testng.annotations.Test;

/** Tests {@link CoordinatorTable}. */
public class CoordinatorTableTest {

    private static final GroupId GROUP = new GroupId("pieces");

    private final ManualTimeSource mTime = new ManualTimeSource();

    private CoordinatorTable table(String... members) {
        CoordinatorTable table = new CoordinatorTable(mTime);
        table.setMembers(List.of(members));
        return table;
    }

    @Test
    public void entriesThatSeeTheSameMembersAgree() {
        assertEquals(
                table("a", "b", "c").coordinator(GROUP), table("c", "a", "b").coordinator(GROUP));
    }

    @Test
    public void groupsAreSharedOut() {
        CoordinatorTable table = table("a", "b", "c", "d");
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            used.add(table.coordinator(new GroupId("group-" + i)).orElseThrow());
        }
        assertEquals(used.size(), 4);
    }

    @Test
    public void memberThatDidNotAnswerIsPassedOverForAWhile() {
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
