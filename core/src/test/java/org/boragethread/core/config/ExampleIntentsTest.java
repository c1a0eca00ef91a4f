package org.boragethread.core.config;

import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.boragethread.model.config.Configuration;
import org.boragethread.model.config.Intent;
import org.boragethread.model.config.Plan;
import org.testng.annotations.Test;

/** Checks that the intents in {@code examples/intents} can be parsed and planned. */
public class ExampleIntentsTest {

    private static final Path EXAMPLES = Path.of("..", "examples", "intents");

    private static Intent read(Path file) throws IOException {
        Either<ConfigError, Intent> intent = ConfigCodec.readIntent(Files.readAllBytes(file));
        assertTrue(intent.isRight(), file + ": " + intent);
        return intent.get();
    }

    @Test
    public void everyExampleCanBePlannedOnceTheAgencyIsSetUp() throws IOException {
        List<Path> files;
        try (Stream<Path> list = Files.list(EXAMPLES)) {
            files = list.sorted().toList();
        }
        assertTrue(files.size() >= 5, "examples: " + files);
        Planner planner = new Planner(List::of);
        Plan agency =
                planner.plan(read(EXAMPLES.resolve("agency.json")), Configuration.EMPTY).get();
        Configuration now = TestConfigs.apply(Configuration.EMPTY, agency).configuration();
        for (Path file : files) {
            Either<ConfigError, Plan> plan = planner.plan(read(file), now);
            assertTrue(plan.isRight(), file + ": " + plan);
        }
    }
}
