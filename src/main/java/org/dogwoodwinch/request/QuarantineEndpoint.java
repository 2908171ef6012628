package org.dogwoodwinch.request;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Objects;

/**
 * What the operators' listener answers under {@link #PREFIX}: {@code GET /quarantine} lists, {@code POST
 * /quarantine/lift} with a {@link LiftRequest} lifts.
 */
public final class QuarantineEndpoint {

    /** The path that it answers under. */
    public static final String PREFIX = "/quarantine";

    /** The path that lifts. */
    public static final String LIFT_PATH = PREFIX + "/lift";

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int HEX_RADIX = 16;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final SuspectBook suspects;

    /**
     * Creates the endpoint.
     *
     * @param suspects the suspects, not null
     */
    public QuarantineEndpoint(SuspectBook suspects) {
        this.suspects = Objects.requireNonNull(suspects, "book");
    }

    /**
     * Answers a call.
     *
     * @param method the HTTP method, not null
     * @param path the path, not null
     * @param body the body in JSON, empty where there is none, not null
     * @return the answer
     */
    public Answer handle(String method, String path, String body) {
        if (method.equals("GET") && path.equals(PREFIX)) {
            return json(OK, suspects.listQuarantined());
        }
        if (method.equals("POST") && path.equals(LIFT_PATH)) {
            return lift(body);
        }
        return json(NOT_FOUND, new Problem("no such page: " + method + " " + path));
    }

    private Answer lift(String body) {
        try {
            String fingerprint = MAPPER.readValue(body, LiftRequest.class).fingerprint();
            boolean lifted = suspects.lift(Long.parseUnsignedLong(fingerprint, HEX_RADIX));
            return json(OK, new LiftAnswer(fingerprint, lifted));
        } catch (JsonProcessingException | NumberFormatException _e) {
            return json(BAD_REQUEST, new Problem("fingerprint must be sixteen hexadecimal digits"));
        }
    }

    private static Answer json(int status, Object value) {
        try {
            return new Answer(status, MAPPER.writeValueAsString(value));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("answers are always writable", e);
        }
    }

    /**
     * An answer in JSON.
     *
     * @param status the HTTP status
     * @param body the JSON, not null
     */
    public record Answer(int status, String body) {}

    /**
     * Asks to lift a quarantine.
     *
     * @param fingerprint the request's fingerprint in hexadecimal digits
     */
    public record LiftRequest(String fingerprint) {

        /** Takes a missing fingerprint for an empty one, which is refused as malformed. */
        public LiftRequest {
            fingerprint = fingerprint == null ? "" : fingerprint;
        }
    }

    /**
     * What became of lifting a quarantine.
     *
     * @param fingerprint the request's fingerprint in hexadecimal digits
     * @param lifted whether it was in quarantine on the instance that was asked; the others are told either way
     */
    public record LiftAnswer(String fingerprint, boolean lifted) {}

    /**
     * What is wrong with a call.
     *
     * @param detail a sentence for people
     */
    public record Problem(String detail) {}
}
