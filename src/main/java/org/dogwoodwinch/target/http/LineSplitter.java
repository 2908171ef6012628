package org.dogwoodwinch.target.http;

import java.io.ByteArrayOutputStream;
import java.util.function.Predicate;

/** Cuts a byte stream into lines; not thread-safe. */
final class LineSplitter {

    private final ByteArrayOutputStream currentLine = new ByteArrayOutputStream();
    private final int maxLineBytes;

    /**
     * Creates a splitter.
     *
     * @param maxLineBytes the longest line, in bytes; without a bound, a target that never ends a line would fill the
     *     heap
     */
    LineSplitter(int maxLineBytes) {
        this.maxLineBytes = maxLineBytes;
    }

    /**
     * Takes bytes and hands out each line that they complete, empty ones left out.
     *
     * @param bytes the bytes, not null
     * @param consumer takes a line without its end; returns false to stop
     * @return false where a line is too long or the taker stopped
     */
    boolean feed(byte[] bytes, Predicate<byte[]> consumer) {
        int start = 0;
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] == '\n') {
                currentLine.write(bytes, start, i - start);
                start = i + 1;
                if (!emitLine(consumer)) {
                    return false;
                }
            }
        }
        currentLine.write(bytes, start, bytes.length - start);
        return currentLine.size() <= maxLineBytes;
    }

    private boolean emitLine(Predicate<byte[]> consumer) {
        if (currentLine.size() == 0) {
            return true;
        }
        byte[] line = currentLine.toByteArray();
        currentLine.reset();
        return line.length <= maxLineBytes && consumer.test(line);
    }
}
