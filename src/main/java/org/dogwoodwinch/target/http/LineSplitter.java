package org.dogwoodwinch.target.http;

import java.io.ByteArrayOutputStream;
import java.util.function.Predicate;

/** Splits a byte stream into lines; not thread-safe. */
final class LineSplitter {

    private final ByteArrayOutputStream currentLine = new ByteArrayOutputStream();
    private final int maxLineBytes;

    /**
     * Creates a splitter.
     *
     * @param maxLineBytes the maximum length of a line, in bytes; without a limit, a target that never ends a line
     *     would exhaust the heap
     */
    LineSplitter(int maxLineBytes) {
        this.maxLineBytes = maxLineBytes;
    }

    /**
     * Adds bytes and passes each line that they complete to the consumer; empty lines are skipped.
     *
     * @param bytes the bytes, not null
     * @param consumer receives a line without its terminator; returns false to stop
     * @return false if a line is too long or the consumer stopped
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
