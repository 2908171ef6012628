package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class DaemonMainTest {

    @TempDir
    Path directory;

    /** Both ways to name the file lead to the same end. */
    @Test
    void invalidSettingsExitWithOne() throws IOException {
        Path file = Files.writeString(directory.resolve("node.json"), "{\"instance\": 7}");

        assertEquals(1, DaemonMain.exitCode(new String[] {"--settings", file.toString()}));
        assertEquals(1, DaemonMain.exitCode(new String[] {"--settings=" + file}));
    }

    @Test
    void invalidCommandLineExitsWithTwo() {
        assertEquals(2, DaemonMain.exitCode(new String[] {}));
        assertEquals(2, DaemonMain.exitCode(new String[] {"--settings", "a", "b"}));
    }

    /** An exception that left the main thread would not end the process: its event loop lives on. */
    @Test
    void uncaughtExceptionExitsWithOne() {
        assertEquals(1, DaemonMain.exitCode(new String[] {"--settings", "no\0path"}));
    }
}
