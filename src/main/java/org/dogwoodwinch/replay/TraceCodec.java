package org.dogwoodwinch.replay;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reads and writes traces as JSON lines: the header, then requests and faults, told apart by their fields. */
public final class TraceCodec {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String FAULT_FIELD = "\"kind\"";

    private TraceCodec() {}

    /**
     * Writes a trace.
     *
     * @param trace the trace, not null
     * @param file where to, not null
     * @throws IOException if the file cannot be written
     */
    public static void write(Trace trace, Path file) throws IOException {
        try (BufferedWriter writer = Files.newBufferedWriter(file)) {
            writeLine(writer, trace.header());
            for (TraceFault fault : trace.faults()) {
                writeLine(writer, fault);
            }
            for (TraceRequest request : trace.requests()) {
                writeLine(writer, request);
            }
        }
    }

    /**
     * Reads a trace.
     *
     * @param file the file, not null
     * @return the trace
     * @throws IOException if the file cannot be read or is not a trace
     */
    public static Trace read(Path file) throws IOException {
        try (BufferedReader reader = Files.newBufferedReader(file)) {
            String first = reader.readLine();
            if (first == null) {
                throw new IOException("the trace is empty: " + file);
            }
            TraceHeader header = MAPPER.readValue(first, TraceHeader.class);
            List<TraceRequest> requests = new ArrayList<>();
            List<TraceFault> faults = new ArrayList<>();
            String line = reader.readLine();
            while (line != null) {
                if (line.contains(FAULT_FIELD)) {
                    faults.add(MAPPER.readValue(line, TraceFault.class));
                } else {
                    requests.add(MAPPER.readValue(line, TraceRequest.class));
                }
                line = reader.readLine();
            }
            return new Trace(header, requests, faults);
        }
    }

    private static void writeLine(BufferedWriter writer, Object value) throws IOException {
        writer.write(MAPPER.writeValueAsString(value));
        writer.newLine();
    }
}
