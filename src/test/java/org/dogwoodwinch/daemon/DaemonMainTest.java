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

    /** Both forms of the option give the same exit code. */
    @Test
    void invalidSettingsExitWithOne() throws IOException {
        Path file = Files.writeString(directory.resolve("node.json"), "{\"instance\": 7}");

        assertEquals(1, DaemonMain.execute(new String[] {"--settings", file.toString()}));
        assertEquals(1, DaemonMain.execute(new String[] {"--settings=" + file}));
    }

    @Test
    void invalidCommandLineExitsWithTwo() {
        assertEquals(2, DaemonMain.execute(new String[] {}));
        assertEquals(2, DaemonMain.execute(new String[] {"--settings", "a", "b"}));
    }

    /** An exception that escaped from the main thread would not end the process, since its event loop keeps running. */
    @Test
    void uncaughtExceptionExitsWithOne() {
        assertEquals(1, DaemonMain.execute(new String[] {"--settings", "no\0path"}));
    }
}
