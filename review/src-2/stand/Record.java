package stand;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time since the start. */
public final class Record implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    public Record(Path file) throws IOException {
        out = new PrintWriter(file.toFile(), StandardCharsets.UTF_8);
    }

    public synchronized void add(String event, String subject, String text) {
        String line = String.format(
                "%8.3f s  %-9s %-12s %s", (System.nanoTime() - startNanos) / 1e9, event, subject, text);
        out.println(line);
        out.flush();
    }

    /** Writes a line that is also shown. */
    public synchronized void tell(String text) {
        out.println(text);
        out.flush();
        System.out.println(text);
    }

    @Override
    public void close() {
        out.close();
    }
}
