package org.dogwoodwinch.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

class SettingsCommandTest {

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    @TempDir
    private Path folder;

    @Test
    void aRightFileEndsWithZero() {
        assertEquals(ExitCodes.DONE, run("settings", "check", "examples/malabar.json"));
    }

    @Test
    void aWrongFileEndsWithOneAndNamesTheField() throws IOException {
        Path file = Files.writeString(folder.resolve("wrong.json"), "{\"instance\": {\"nmae\": \"a\"}}");
        assertEquals(ExitCodes.REFUSED, run("settings", "check", file.toString()));
        assertTrue(err.toString().contains("instance.nmae: is unknown here"));
    }

    @Test
    void showPrintsDefaults() {
        assertEquals(ExitCodes.DONE, run("settings", "show", "examples/albuquerque.json"));
        assertTrue(out.toString().contains("\"pricePerSecondAway\" : 8.0"));
        assertTrue(out.toString().contains("\"drainMillis\" : 60000"));
    }

    private int run(String... args) {
        return new CommandLine(new ControlCommand())
                .setOut(new PrintWriter(out, true))
                .setErr(new PrintWriter(err, true))
                .execute(args);
    }
}
