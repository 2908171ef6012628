package org.dogwoodwinch.history;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class HistoryCodecTest {

    @TempDir
    private Path directory;

    @Property(seed = "3", tries = 50)
    void anEventOutlivesItsLine(@ForAll long seed) throws IOException {
        for (HistoryEvent event : GeneratedHistory.of(seed).events()) {
            assertEquals(event, HistoryCodec.fromLine(HistoryCodec.toLine(event)));
        }
    }

    @Test
    void aLineNamesItsEventAndItsFields() {
        assertEquals(
                "{\"event\":\"targetLeaving\",\"atMillis\":5,\"target\":\"e1\"}",
                HistoryCodec.toLine(new FleetEvent.TargetLeaving(5, "e1")));
    }

    /**
     * A daemon is killed in the middle of writing a line. The reader gets the whole lines before it: the half line
     * tells nothing that can be judged.
     */
    @Test
    void theHalfLineOfAKilledProcessIsLeftOut() throws IOException {
        Path file = directory.resolve("history.jsonl");
        try (FileRecorder recorder = new FileRecorder(file)) {
            recorder.record(new FleetEvent.TargetLeaving(5, "e1"));
        }
        Files.writeString(file, Files.readString(file) + "{\"event\":\"targ");
        assertEquals(1, HistoryCodec.read(file).events().size());
    }

    @Test
    void aBrokenLineIsNamed() throws IOException {
        Path file = directory.resolve("history.jsonl");
        Files.writeString(file, "{\"event\":\"targetLeaving\",\"atMillis\":5,\"target\":\"e1\"}\nnonsense\n");
        IOException error = assertThrows(IOException.class, () -> HistoryCodec.read(file));
        assertTrue(error.getMessage().contains("history.jsonl:2: "), error::getMessage);
    }
}
