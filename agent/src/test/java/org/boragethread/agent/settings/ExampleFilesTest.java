package org.boragethread.agent.settings;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.boragethread.process.settings.SettingsReader;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that agents accept the example settings files under {@code examples}. */
public class ExampleFilesTest {

    private static final Path EXAMPLES = Path.of("..", "examples");

    @DataProvider
    public Object[][] files() {
        return new Object[][] {
            {"power-line-agency/agent-orders.toml"},
            {"power-line-agency/agent-engine.toml"},
            {"archive/agent-drafting.toml"},
        };
    }

    @Test(dataProvider = "files")
    public void settingsAreValid(String name) throws IOException {
        Path file = EXAMPLES.resolve(name);
        SettingsReader reader = new SettingsReader(file.toString(), Files.readString(file));
        AgentSettings.read(reader);
        assertEquals(reader.problems(), List.of());
    }
}
