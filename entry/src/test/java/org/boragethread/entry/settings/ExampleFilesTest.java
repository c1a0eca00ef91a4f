package org.boragethread.entry.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.boragethread.core.config.ConfigCodec;
import org.boragethread.core.config.ConfigError;
import org.boragethread.core.config.Planner;
import org.boragethread.model.config.Configuration;
import org.boragethread.model.config.Plan;
import org.boragethread.process.settings.SettingsReader;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Reads the files under {@code examples} in the same way as an entry does. */
public class ExampleFilesTest {

    private static final Path EXAMPLES = Path.of("..", "examples");

    @DataProvider
    public Object[][] deployments() {
        return new Object[][] {{"power-line-agency"}, {"archive"}};
    }

    @Test(dataProvider = "deployments")
    public void entrySettingsAreValid(String deployment) throws IOException {
        Path file = EXAMPLES.resolve(deployment).resolve("entry.toml");
        SettingsReader reader = new SettingsReader(file.toString(), Files.readString(file));
        EntrySettings.read(reader);
        assertEquals(reader.problems(), List.of());
    }

    @Test(dataProvider = "deployments")
    public void initialConfigurationCanBePlanned(String deployment) throws IOException {
        Path file = EXAMPLES.resolve(deployment).resolve("configuration.json");
        Either<ConfigError, Plan> plan =
                ConfigCodec.readIntent(Files.readAllBytes(file))
                        .flatMap(intent -> new Planner(List::of).plan(intent, Configuration.EMPTY));
        assertTrue(plan.isRight(), plan.toString());
    }
}
