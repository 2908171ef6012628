package org.dogwoodwinch.standin.platform;

import java.io.ByteArrayOutputStream;
import java.util.Map;
import org.dogwoodwinch.bytes.Bytes;

/** Collects an answer while it is written. May be read on any thread. */
final class AnswerRecorder {

    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private Map<String, String> headers = Map.of();
    private boolean isWhole;

    synchronized void begin(int beginStatus, Map<String, String> beginHeaders) {
        status = beginStatus;
        headers = Map.copyOf(beginHeaders);
    }

    synchronized void add(byte[] bytes) {
        body.writeBytes(bytes);
    }

    synchronized void end() {
        isWhole = true;
    }

    /** Returns what was written until now. */
    synchronized GivenAnswer given() {
        return new GivenAnswer(status, headers, Bytes.of(body.toByteArray()), isWhole);
    }
}
