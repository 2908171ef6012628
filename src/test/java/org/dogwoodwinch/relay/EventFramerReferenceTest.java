package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;

/** Compares the framer with a plain reference that reads all bytes so far again after each chunk. */
class EventFramerReferenceTest {

    private static final String BYTE_ORDER_MARK = "\u00EF\u00BB\u00BF";
    private static final String MIXED = "mixed";
    private static final Pattern LINE = Pattern.compile("([^\\r\\n]*)(\\r\\n|\\r|\\n|$)");

    /** Failure: where the bytes of a stream are cut decides what is passed on, and after which event it goes on. */
    @Property(seed = "7211", tries = 400)
    void framerAgreesWithReferenceAtEachCutAndChunkSize(@ForAll("streams") String stream) {
        for (int cut = 0; cut <= stream.length(); cut++) {
            assertAgreement(List.of(stream.substring(0, cut), stream.substring(cut)), Optional.empty());
        }
        for (int chunkSize = 1; chunkSize <= stream.length(); chunkSize++) {
            assertAgreement(chunksOf(stream, chunkSize), Optional.empty());
        }
    }

    /** Failure: bytes of a response that was cut, or what was known of its line ends, remain in the next one. */
    @Property(seed = "7212", tries = 200)
    void nothingOfCutResponseRemainsInNextOne(
            @ForAll("streams") String first, @ForAll("unnumberedStreams") String second) {
        for (int cut = 0; cut <= first.length(); cut++) {
            EventFramer framer = new EventFramer(Optional.empty());
            boolean goesOn = !append(framer, first.substring(0, cut)).isEmpty();
            Optional<String> lastEventId = framer.lastEventId();
            framer.beginResponse();

            assertAgreement(framer, chunksOf(second, 1 + cut % 7), lastEventId, goesOn);
        }
    }

    private static void assertAgreement(List<String> chunks, Optional<String> lastEventId) {
        assertAgreement(new EventFramer(lastEventId), chunks, lastEventId, false);
    }

    private static void assertAgreement(
            EventFramer framer, List<String> chunks, Optional<String> lastEventId, boolean goesOn) {
        StringBuilder received = new StringBuilder();
        StringBuilder passedOn = new StringBuilder();
        for (String chunk : chunks) {
            received.append(chunk);
            passedOn.append(append(framer, chunk));
            Reference expected = Reference.of(received.toString());
            String whole = received.substring(0, expected.passedOnLength());
            assertEquals(goesOn ? withoutMark(whole) : whole, passedOn.toString());
            assertEquals(expected.lastEventId().or(() -> lastEventId), framer.lastEventId(), received.toString());
            assertEquals(expected.eventsCount(), framer.eventsCount(), received.toString());
            assertEquals(expected.isInsideEvent(), framer.isInsideEvent(), received.toString());
        }
        String trailing = new String(framer.takeTrailing(), StandardCharsets.ISO_8859_1);
        assertEquals(goesOn ? withoutMark(received.toString()) : received.toString(), passedOn + trailing);
    }

    private static String withoutMark(String bytes) {
        return bytes.startsWith(BYTE_ORDER_MARK) ? bytes.substring(BYTE_ORDER_MARK.length()) : bytes;
    }

    private static String append(EventFramer framer, String chunk) {
        byte[] events = framer.append(Unpooled.copiedBuffer(chunk, StandardCharsets.ISO_8859_1));
        return new String(events, StandardCharsets.ISO_8859_1);
    }

    private static List<String> chunksOf(String stream, int size) {
        List<String> chunks = new ArrayList<>();
        for (int from = 0; from < stream.length(); from += size) {
            chunks.add(stream.substring(from, Math.min(stream.length(), from + size)));
        }
        return chunks;
    }

    /** Event streams whose numbered events have increasing ids. */
    @Provide
    Arbitrary<String> streams() {
        return streams(Arbitraries.of("id: #", "id:#", "id:  # ", "id: abc", "id: 12x", "data: none", "identity: 4"));
    }

    @Provide
    Arbitrary<String> unnumberedStreams() {
        return streams(Arbitraries.of("id: abc", "id:x", "data: none"));
    }

    private static Arbitrary<String> streams(Arbitrary<String> idLines) {
        Arbitrary<String> otherLines =
                Arbitraries.of("data: word", "data", ": note", ":", "weight: 3", "data: \u00C3\u00A9");
        Arbitrary<List<String>> events = Combinators.combine(
                        otherLines.list().ofMaxSize(2),
                        idLines,
                        otherLines.list().ofMaxSize(2))
                .as((before, id, after) -> {
                    List<String> lines = new ArrayList<>(before);
                    lines.add(id);
                    lines.addAll(after);
                    lines.add("");
                    return lines;
                });
        Arbitrary<List<String>> comments = Arbitraries.of(List.of(": note"), List.of(": note", ""), List.of(""));
        return Combinators.combine(
                        Arbitraries.of("", BYTE_ORDER_MARK),
                        Arbitraries.frequencyOf(Tuple.of(4, events), Tuple.of(1, comments))
                                .list()
                                .ofMaxSize(4),
                        Arbitraries.of("\n", "\r", "\r\n", MIXED),
                        Arbitraries.of("\n", "\r", "\r\n").list().ofSize(28))
                .as(EventFramerReferenceTest::write);
    }

    private static String write(String start, List<List<String>> blocks, String lineEnd, List<String> mixedLineEnds) {
        StringBuilder stream = new StringBuilder(start);
        int linesCount = 0;
        int id = 7;
        for (List<String> block : blocks) {
            id += 1 + linesCount % 3;
            for (String line : block) {
                String end = lineEnd.equals(MIXED) ? mixedLineEnds.get(linesCount % mixedLineEnds.size()) : lineEnd;
                stream.append(line.replace("#", Integer.toString(id))).append(end);
                linesCount++;
            }
        }
        return stream.toString();
    }

    /**
     * What follows from all bytes of a response so far. A CR at their end may be the first half of a line end: it ends an
     * empty line, or a last line of comment, only where no line of the response ended with CR and LF.
     */
    private record Reference(int passedOnLength, Optional<String> lastEventId, int eventsCount, boolean isInsideEvent) {

        static Reference of(String bytes) {
            int start = bytes.startsWith(BYTE_ORDER_MARK) ? BYTE_ORDER_MARK.length() : 0;
            boolean hasCrLf = bytes.contains("\r\n");
            int passedOnLength = 0;
            int eventsCount = 0;
            Optional<String> lastEventId = Optional.empty();
            Optional<String> id = Optional.empty();
            boolean hasField = false;
            boolean isCut = false;
            Matcher lines = LINE.matcher(bytes);
            int at = start;
            while (at < bytes.length() && lines.find(at)) {
                String line = lines.group(1);
                boolean endsWithLastCr = lines.group(2).equals("\r") && lines.end() == bytes.length();
                boolean isWhole = !lines.group(2).isEmpty()
                        && !(endsWithLastCr && (hasCrLf || !(line.isEmpty() || line.startsWith(":"))));
                if (!isWhole) {
                    isCut = true;
                    break;
                }
                at = lines.end();
                if (line.isEmpty()) {
                    passedOnLength = at;
                    eventsCount += hasField ? 1 : 0;
                    lastEventId = id.isPresent() ? id : lastEventId;
                    id = Optional.empty();
                    hasField = false;
                } else if (!line.startsWith(":")) {
                    id = line.startsWith("id:") ? Optional.of(line.substring(3).strip()) : id;
                    hasField = true;
                }
            }
            return new Reference(passedOnLength, lastEventId, eventsCount, hasField || isCut);
        }
    }
}
