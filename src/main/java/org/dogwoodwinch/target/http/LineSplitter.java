package org.dogwoodwinch.target.http;

import java.io.ByteArrayOutputStream;
import java.util.function.Predicate;

/** Cuts a byte stream into lines; not thread-safe. */
final class LineSplitter {

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
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
     * @param line takes a line without its end; returns false to stop
     * @return false where a line is too long or the taker stopped
     */
    boolean feed(byte[] bytes, Predicate<byte[]> line) {
        int start = 0;
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] == '\n') {
                pending.write(bytes, start, i - start);
                start = i + 1;
                if (!handOut(line)) {
                    return false;
                }
            }
        }
        pending.write(bytes, start, bytes.length - start);
        return pending.size() <= maxLineBytes;
    }

    private boolean handOut(Predicate<byte[]> line) {
        if (pending.size() == 0) {
            return true;
        }
        byte[] content = pending.toByteArray();
        pending.reset();
        return content.length <= maxLineBytes && line.test(content);
    }
}
