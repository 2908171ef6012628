package org.dogwoodwinch.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.Stage;

/** Decodes what a target states of itself in the platform's store. */
public final class TargetEntryDecoder {

    private static final ObjectMapper JSON = new ObjectMapper();

    private TargetEntryDecoder() {}

    /**
     * Decodes an entry.
     *
     * @param id the entry's key, which is the incarnation's id and stands nowhere else, not null
     * @param body the entry, not null
     * @return the incarnation
     * @throws IOException if it is none
     */
    public static Incarnation decode(String id, Bytes body) throws IOException {
        JsonNode entry = JSON.readTree(body.toByteArray());
        String address = entry.path("address").asText();
        int colon = address.lastIndexOf(':');
        if (colon < 0) {
            throw new IOException("no address: " + address);
        }
        try {
            return new Incarnation(
                    id,
                    entry.path("service").asText(),
                    address.substring(0, colon),
                    Integer.parseInt(address.substring(colon + 1)),
                    // The wire's zone is a data centre.
                    entry.path("zone").asText(),
                    Math.max(1, entry.path("slots").asInt(1)),
                    !entry.path("state").asText().equals("ready"),
                    stage(entry.path("stage").asText()),
                    // The wire's own version field is that of the software; weights have theirs with each model.
                    entry.path("models").path(0).path("version").asLong());
        } catch (NumberFormatException e) {
            throw new IOException("no address: " + address, e);
        }
    }

    static Stage stage(String word) {
        return switch (word) {
            case "prefill" -> Stage.PREFILL;
            case "decode" -> Stage.DECODE;
            default -> Stage.WHOLE;
        };
    }
}
