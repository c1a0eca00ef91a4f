package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** Tests that only the platform's adapter and the stand-ins use the platform's names. */
public class PlatformNamesTest {

    private static final List<String> PLATFORM_NAMES =
            List.of(
                    "X-Boragethread",
                    "keyed.",
                    "/v1/log-",
                    "/v1/stage-",
                    "/v1/readiness",
                    "path_prefix",
                    "api_keys",
                    "can_resume",
                    "cold_left_ms",
                    "headroom_mb",
                    "Last-Event-Id",
                    "Kv-From");

    private static final List<String> EXEMPT_MODULES = List.of("platform", "standins");

    @Test
    public void onlyPlatformAdapterUsesPlatformNames() throws IOException {
        Path root = Path.of("..").toAbsolutePath().normalize();
        List<String> found = new ArrayList<>();
        try (Stream<Path> files = Files.walk(root)) {
            for (Path file : files.filter(path -> isProductSource(root, path)).toList()) {
                String text = Files.readString(file);
                PLATFORM_NAMES.stream()
                        .filter(text::contains)
                        .forEach(name -> found.add(root.relativize(file) + ": " + name));
            }
        }
        assertEquals(found, List.of());
    }

    private static boolean isProductSource(Path root, Path path) {
        Path relative = root.relativize(path);
        return relative.toString().endsWith(".java")
                && relative.toString().contains("src/main/java")
                && !EXEMPT_MODULES.contains(relative.getName(0).toString());
    }
}
