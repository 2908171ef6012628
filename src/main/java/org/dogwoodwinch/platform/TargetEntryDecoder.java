package org.dogwoodwinch.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.regex.Pattern;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.bytes.JsonTrees;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.Stage;

/**
 * Decodes the entry with which a target registers in the platform's store.
 *
 * <p>Failure: an incomplete entry, written by another version of a target or by a faulty writer, would be decoded as a
 * ready target, with zeros in place of missing fields. Every field that routing depends on must be present and in
 * range; otherwise the entry is rejected, and the other entries stay in use.
 */
public final class TargetEntryDecoder {

    /** More than any valid entry needs; a larger entry is rejected. */
    private static final int MAX_ENTRY_BYTES = 65_536;

    private static final int MAX_PORT = 65_535;
    private static final int MAX_OCTET = 255;
    private static final int MAX_SLOTS = 1_000_000;
    private static final Pattern ADDRESS = Pattern.compile("[0-9]{1,3}([.][0-9]{1,3}){3}:[0-9]{1,5}");

    private TargetEntryDecoder() {}

    /**
     * Decodes an entry.
     *
     * @param id the entry's key, which is the incarnation's id and is not repeated in the entry, not null
     * @param body the entry as JSON, not null
     * @return the incarnation
     * @throws IOException if the entry is invalid; the message names the field
     */
    public static Incarnation decode(String id, Bytes body) throws IOException {
        if (body.length() > MAX_ENTRY_BYTES) {
            throw new IOException("entry too large: " + body.length() + " bytes, at most " + MAX_ENTRY_BYTES);
        }
        JsonNode entry = JsonTrees.read(body.toByteArray());
        if (entry == null || !entry.isObject()) {
            throw new IOException("entry is not a JSON object");
        }
        String address = decodeAddress(entry);
        int colon = address.lastIndexOf(':');
        return new Incarnation(
                id,
                requireText(entry, "service"),
                address.substring(0, colon),
                Integer.parseInt(address.substring(colon + 1)),
                // The field zone on the wire is the data centre.
                requireText(entry, "zone"),
                decodeSlots(entry),
                decodeDraining(entry),
                decodeOptionalStage(entry),
                entry.path("models").path(0).path("version").asLong(),
                decodeStartMillis(entry),
                // The entry's field version is the software's version; the version of the weights is in each model.
                requireText(entry, "version"),
                decodeSpot(entry));
    }

    /**
     * Decodes the start time of a target from its entry or from one of its answers.
     *
     * @param document the entry or the answer, not null
     * @return the start time in milliseconds of the platform's clock; zero if not stated
     * @throws IOException if the stated value is not a positive integer
     */
    static long decodeStartMillis(JsonNode document) throws IOException {
        JsonNode value = document.path("born");
        if (value.isMissingNode()) {
            return 0;
        }
        if (!value.isIntegralNumber() || !value.canConvertToLong() || value.asLong() <= 0) {
            throw new IOException("born is not a positive integer: " + value);
        }
        return value.asLong();
    }

    private static String requireText(JsonNode entry, String field) throws IOException {
        JsonNode value = entry.path(field);
        if (!value.isTextual() || value.asText().isEmpty()) {
            throw new IOException(field + " is not a non-empty string: " + value);
        }
        return value.asText();
    }

    private static String decodeAddress(JsonNode entry) throws IOException {
        String address = requireText(entry, "address");
        if (!ADDRESS.matcher(address).matches()) {
            throw new IOException("invalid address: " + address);
        }
        int colon = address.lastIndexOf(':');
        for (String octet : address.substring(0, colon).split("[.]", -1)) {
            if (Integer.parseInt(octet) > MAX_OCTET) {
                throw new IOException("invalid address: " + address);
            }
        }
        int port = Integer.parseInt(address.substring(colon + 1));
        if (port < 1 || port > MAX_PORT) {
            throw new IOException("invalid port in address: " + address);
        }
        return address;
    }

    private static int decodeSlots(JsonNode entry) throws IOException {
        JsonNode slots = entry.path("slots");
        if (!slots.isInt() || slots.asInt() < 1 || slots.asInt() > MAX_SLOTS) {
            throw new IOException("slots is not an integer from 1 to " + MAX_SLOTS + ": " + slots);
        }
        return slots.asInt();
    }

    private static boolean decodeDraining(JsonNode entry) throws IOException {
        String state = requireText(entry, "state");
        return switch (state) {
            case "ready" -> false;
            case "draining" -> true;
            default -> throw new IOException("unknown state: " + state);
        };
    }

    /** Returns whether the target is a spot engine; entries without the field are those of on-demand engines. */
    private static boolean decodeSpot(JsonNode entry) throws IOException {
        JsonNode spot = entry.path("spot");
        if (!spot.isMissingNode() && !spot.isBoolean()) {
            throw new IOException("spot is not a boolean: " + spot);
        }
        return spot.asBoolean();
    }

    /** Returns {@link Stage#WHOLE} if no stage is stated, as with plain services. */
    private static Stage decodeOptionalStage(JsonNode entry) throws IOException {
        JsonNode value = entry.path("stage");
        boolean absent = value.isMissingNode()
                || value.isNull()
                || (value.isTextual() && value.asText().isEmpty());
        return absent ? Stage.WHOLE : parseStage(requireText(entry, "stage"));
    }

    /**
     * Parses the name of a stage.
     *
     * @param text the name on the wire, not null
     * @return the stage
     * @throws IOException if the name is unknown
     */
    static Stage parseStage(String text) throws IOException {
        return switch (text) {
            case "prefill" -> Stage.PREFILL;
            case "decode" -> Stage.DECODE;
            default -> throw new IOException("unknown stage: " + text);
        };
    }
}
