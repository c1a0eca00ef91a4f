package org.boragethread.process.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests {@link SettingsReader} and {@link SettingsSection}. */
public class SettingsReaderTest {

    @Test
    public void everyProblemIsReportedWithFileKeyValueAndRemedy() {
        SettingsReader reader =
                new SettingsReader("a.toml", "[agent]\nlisten = \"localhost:1\"\nqueue = 0\n");
        SettingsSection agent = reader.section("agent");
        agent.address("listen");
        agent.integer("queue", 10, 1, 100);
        agent.string("group");
        assertEquals(reader.problems().size(), 3);
        SettingsProblem first = reader.problems().get(0);
        assertEquals(first.key(), "agent.listen");
        assertEquals(first.value(), "\"localhost:1\"");
        assertTrue(first.remedy().contains("IP number"), first.remedy());
    }

    @Test
    public void unknownKeysAndSectionsAreProblems() {
        SettingsReader reader = new SettingsReader("a.toml", "[agent]\nlimt = 3\n[extra]\nx=1\n");
        reader.section("agent").reportUnknownKeys();
        assertEquals(reader.problems().size(), 2);
    }

    @Test
    public void invalidSyntaxIsOneProblem() {
        SettingsReader reader = new SettingsReader("a.toml", "[agent\n");
        assertEquals(reader.problems().size(), 1);
        assertTrue(reader.problems().get(0).remedy().contains("TOML"));
    }

    @Test
    public void portOutOfRangeIsAProblem() {
        SettingsReader reader = new SettingsReader("a.toml", "[agent]\nlisten='127.0.0.1:70000'");
        reader.section("agent").address("listen");
        assertEquals(reader.problems().size(), 1);
    }
}
