package org.boragethread.core.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.boragethread.model.routing.CallerBounds;
import org.boragethread.model.routing.RequestKind;
import org.boragethread.model.routing.Route;
import org.boragethread.model.routing.RoutingConfig;
import org.boragethread.model.routing.WeightedGroup;
import org.boragethread.model.upstream.GroupId;
import org.testng.annotations.Test;

/** Tests {@link RoutingTable}. */
public class RoutingTableTest {

    private static Route route(String name, String prefix) {
        return new Route(
                name,
                "host.example",
                prefix,
                RequestKind.SAFE,
                Duration.ofSeconds(1),
                Duration.ofMillis(100),
                Duration.ofSeconds(1),
                0,
                List.of(
                        new WeightedGroup(new GroupId("a"), 90),
                        new WeightedGroup(new GroupId("b"), 10)),
                1,
                List.of(),
                false,
                false,
                false,
                Set.of());
    }

    private static RoutingConfig config(long version, Route... routes) {
        return new RoutingConfig(
                version, List.of(routes), Map.of(), CallerBounds.INITIAL, Optional.empty());
    }

    @Test
    public void routeWithTheLongestPrefixIsFound() {
        RoutingTable table = new RoutingTable();
        table.replace(config(1, route("short", "/a/"), route("long", "/a/b/")));
        assertEquals(table.find("host.example", "/a/b/c").orElseThrow().name(), "long");
        assertEquals(table.find("host.example", "/a/x").orElseThrow().name(), "short");
        assertTrue(table.find("host.example", "/ab").isEmpty());
        assertTrue(table.find("other.example", "/a/b/c").isEmpty());
    }

    @Test
    public void configurationIsNotReplacedByAnOlderOne() {
        RoutingTable table = new RoutingTable();
        assertTrue(table.replace(config(7, route("new", "/a/"))));
        assertFalse(table.replace(config(4, route("old", "/a/"))));
        assertFalse(table.replace(config(7, route("same", "/a/"))));
        assertEquals(table.find("host.example", "/a/").orElseThrow().name(), "new");
    }

    @Test
    public void groupsAreChosenInProportionToTheirWeights() {
        Route route = route("split", "/a/");
        assertEquals(route.groupAt(0.0).group(), new GroupId("a"));
        assertEquals(route.groupAt(0.89).group(), new GroupId("a"));
        assertEquals(route.groupAt(0.91).group(), new GroupId("b"));
        assertEquals(route.groupAt(0.9999999).group(), new GroupId("b"));
    }
}
