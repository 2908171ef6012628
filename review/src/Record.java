import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes record.txt: what was sent, answered and run, with the time since the start. */
final class Record implements AutoCloseable {

    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
    }

    synchronized void line(String text) {
        String stamped = String.format(Locale.ROOT, "%8.3f  %s", (System.nanoTime() - startNanos) / 1e9, text);
        out.println(stamped);
        System.out.println(stamped);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
