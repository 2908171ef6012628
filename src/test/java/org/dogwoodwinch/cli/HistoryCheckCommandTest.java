package org.dogwoodwinch.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.dogwoodwinch.history.AttemptEvent;
import org.dogwoodwinch.history.FileRecorder;
import org.dogwoodwinch.history.FleetEvent;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

class HistoryCheckCommandTest {

    @TempDir
    private Path directory;

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    @Test
    void theFilesOfARunAreJudgedTogether() throws IOException {
        try (FileRecorder platform = new FileRecorder(file("platform"));
                FileRecorder engine = new FileRecorder(file("engine"))) {
            platform.record(new FleetEvent.TargetLeaving(0, "e1"));
            engine.record(new AttemptEvent.Executed(5_001, "e1", "a1", "r1"));
        }
        assertEquals(ExitCodes.REFUSED, check(file("engine"), file("platform")));
        assertTrue(out.toString().contains("work-after-grace: e1 got a1 5001 ms after the first sign"), out::toString);
    }

    @Test
    void aRunThatPutNothingAtStakePassesOnlyIfThatIsNotAsked() throws IOException {
        Files.writeString(file("empty"), "");
        assertEquals(ExitCodes.DONE, check(file("empty")));
        assertEquals(ExitCodes.REFUSED, check(file("empty"), Path.of("--all-at-stake")));
    }

    @Test
    void whatIsNoHistoryIsNamed() throws IOException {
        Files.writeString(file("nonsense"), "nonsense\n");
        assertEquals(ExitCodes.USAGE, check(file("nonsense")));
        assertTrue(err.toString().contains("nonsense.jsonl:1: "), err::toString);
    }

    private Path file(String name) {
        return directory.resolve(name + ".jsonl");
    }

    private int check(Path... arguments) {
        CommandLine command = new CommandLine(new HistoryCheckCommand());
        command.setOut(new PrintWriter(out)).setErr(new PrintWriter(err));
        String[] line = new String[arguments.length];
        for (int i = 0; i < line.length; i++) {
            line[i] = arguments[i].toString();
        }
        return command.execute(line);
    }
}
