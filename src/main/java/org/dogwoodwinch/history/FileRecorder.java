package org.dogwoodwinch.history;

import com.google.errorprone.annotations.MustBeClosed;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Appends events to a file of JSON lines, one write for each, so that a process that is killed leaves all that it had
 * recorded. For test runs on one machine only; instances have no disks.
 */
public final class FileRecorder implements HistoryRecorder, AutoCloseable {

    private final FileChannel channel;

    /**
     * Opens a file to append to, and makes it where there is none.
     *
     * @param file the file, not null
     * @throws IOException if it cannot be opened
     */
    @MustBeClosed
    public FileRecorder(Path file) throws IOException {
        this.channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    }

    @Override
    public synchronized void record(HistoryEvent event) {
        ByteBuffer line = StandardCharsets.UTF_8.encode(HistoryCodec.toLine(event) + "\n");
        try {
            while (line.hasRemaining()) {
                channel.write(line);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
