package org.dogwoodwinch.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.regex.Pattern;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.bytes.JsonTrees;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.Stage;

/**
 * Decodes what a target states of itself in the platform's store.
 *
 * <p>Failure: an entry that is half understood, as of another version of a target or of a writer gone wrong, would be
 * read as a target that is ready, with a zero in place of what is missing. Whatever a choice rests on has to be there and
 * in range; otherwise the entry names no target to use, and the others hold.
 */
public final class TargetEntryDecoder {

    /** Over any entry; a larger one is no entry. */
    private static final int MAX_ENTRY_BYTES = 65_536;

    private static final int MAX_PORT = 65_535;
    private static final int MAX_OCTET = 255;
    private static final int MAX_SLOTS = 1_000_000;
    private static final Pattern ADDRESS = Pattern.compile("[0-9]{1,3}([.][0-9]{1,3}){3}:[0-9]{1,5}");

    private TargetEntryDecoder() {}

    /**
     * Decodes an entry.
     *
     * @param id the entry's key, which is the incarnation's id and stands nowhere else, not null
     * @param body the entry, not null
     * @return the incarnation
     * @throws IOException if it is none, with the field that is wrong
     */
    public static Incarnation decode(String id, Bytes body) throws IOException {
        if (body.length() > MAX_ENTRY_BYTES) {
            throw new IOException("an entry of " + body.length() + " bytes");
        }
        JsonNode entry = JsonTrees.read(body.toByteArray());
        if (entry == null || !entry.isObject()) {
            throw new IOException("not an object");
        }
        String address = decodeAddress(entry);
        int colon = address.lastIndexOf(':');
        return new Incarnation(
                id,
                requireText(entry, "service"),
                address.substring(0, colon),
                Integer.parseInt(address.substring(colon + 1)),
                // The wire's zone is a data centre.
                requireText(entry, "zone"),
                decodeSlots(entry),
                decodeDraining(entry),
                decodeOptionalStage(entry),
                // The wire's own version field is that of the software; weights have theirs with each model.
                entry.path("models").path(0).path("version").asLong(),
                decodeStartMillis(entry));
    }

    /**
     * Decodes when a target started, from anything that it says of itself.
     *
     * @param document the entry or answer, not null
     * @return milliseconds of the platform's time; zero where it does not state it
     * @throws IOException if what it states is no time
     */
    static long decodeStartMillis(JsonNode document) throws IOException {
        JsonNode value = document.path("born");
        if (value.isMissingNode()) {
            return 0;
        }
        if (!value.isIntegralNumber() || !value.canConvertToLong() || value.asLong() <= 0) {
            throw new IOException("born is no time: " + value);
        }
        return value.asLong();
    }

    private static String requireText(JsonNode entry, String field) throws IOException {
        JsonNode value = entry.path(field);
        if (!value.isTextual() || value.asText().isEmpty()) {
            throw new IOException(field + " is no text: " + value);
        }
        return value.asText();
    }

    private static String decodeAddress(JsonNode entry) throws IOException {
        String address = requireText(entry, "address");
        if (!ADDRESS.matcher(address).matches()) {
            throw new IOException("address is none: " + address);
        }
        int colon = address.lastIndexOf(':');
        for (String octet : address.substring(0, colon).split("[.]", -1)) {
            if (Integer.parseInt(octet) > MAX_OCTET) {
                throw new IOException("address is none: " + address);
            }
        }
        int port = Integer.parseInt(address.substring(colon + 1));
        if (port < 1 || port > MAX_PORT) {
            throw new IOException("address has no port: " + address);
        }
        return address;
    }

    private static int decodeSlots(JsonNode entry) throws IOException {
        JsonNode slots = entry.path("slots");
        if (!slots.isInt() || slots.asInt() < 1 || slots.asInt() > MAX_SLOTS) {
            throw new IOException("slots is out of range: " + slots);
        }
        return slots.asInt();
    }

    private static boolean decodeDraining(JsonNode entry) throws IOException {
        String state = requireText(entry, "state");
        return switch (state) {
            case "ready" -> false;
            case "draining" -> true;
            default -> throw new IOException("state is unknown: " + state);
        };
    }

    /** Plain services state none. */
    private static Stage decodeOptionalStage(JsonNode entry) throws IOException {
        JsonNode value = entry.path("stage");
        boolean absent = value.isMissingNode()
                || value.isNull()
                || (value.isTextual() && value.asText().isEmpty());
        return absent ? Stage.WHOLE : parseStage(requireText(entry, "stage"));
    }

    /**
     * Decodes a stage.
     *
     * @param text the wire's word, not null
     * @return the stage
     * @throws IOException if the word is none
     */
    static Stage parseStage(String text) throws IOException {
        return switch (text) {
            case "prefill" -> Stage.PREFILL;
            case "decode" -> Stage.DECODE;
            default -> throw new IOException("stage is unknown: " + text);
        };
    }
}
