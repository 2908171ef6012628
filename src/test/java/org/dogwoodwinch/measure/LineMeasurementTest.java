package org.dogwoodwinch.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class LineMeasurementTest {

    @TempDir
    private Path root;

    @Test
    void blankLinesAndCommentsDoNotCount() throws IOException {
        write("src/main/java/org/dogwoodwinch/routing/A.java", "/** Doc.\n * More.\n */\n\n// why\nint a;\nint b;\n");
        write("src/test/java/org/dogwoodwinch/routing/ATest.java", "int t;\nint u;\n");
        MeasurementReport report = new LineMeasurement(root).run(true);
        assertEquals(
                List.of(List.of("routing", "yes", "2", "2", "100.0%")),
                report.tables().get(0).rows());
        assertFalse(report.bounds().get(1).held(), "half of the lines are tests");
    }

    private void write(String file, String text) throws IOException {
        Path path = root.resolve(file);
        Files.createDirectories(path.getParent());
        Files.writeString(path, text);
    }
}
