package org.dogwoodwinch.history;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Turns events into JSON lines and back. */
public final class HistoryCodec {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private HistoryCodec() {}

    /**
     * Encodes an event.
     *
     * @param event the event, not null
     * @return one line of JSON, without its end
     */
    public static String toLine(HistoryEvent event) {
        try {
            return MAPPER.writerFor(HistoryEvent.class).writeValueAsString(event);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Decodes an event.
     *
     * @param line one line of JSON, not null
     * @return the event
     * @throws JsonProcessingException if the line is no event
     */
    public static HistoryEvent fromLine(String line) throws JsonProcessingException {
        return MAPPER.readValue(line, HistoryEvent.class);
    }

    /**
     * Reads a file of JSON lines. A last line without its end is left out: a killed process may leave half a line.
     *
     * @param file the file, not null
     * @return the history
     * @throws IOException if the file cannot be read or a whole line is no event; the message names file and line
     */
    public static History read(Path file) throws IOException {
        String text = Files.readString(file);
        List<HistoryEvent> events = new ArrayList<>();
        int start = 0;
        int lineNumber = 1;
        for (int end = text.indexOf('\n'); end >= 0; end = text.indexOf('\n', start)) {
            events.add(readLine(file, lineNumber, text.substring(start, end)));
            start = end + 1;
            lineNumber++;
        }
        return new History(events);
    }

    private static HistoryEvent readLine(Path file, int lineNumber, String line) throws IOException {
        try {
            return fromLine(line);
        } catch (JsonProcessingException e) {
            throw new IOException(file + ":" + lineNumber + ": " + e.getOriginalMessage(), e);
        }
    }
}
