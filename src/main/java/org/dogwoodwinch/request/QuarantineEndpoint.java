package org.dogwoodwinch.request;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Objects;

/**
 * Operator endpoint under {@link #LIST_PATH}: {@code GET /quarantine} lists the requests in quarantine, and {@code POST
 * /quarantine/lift} with a {@link LiftRequest} ends the quarantine of one. {@code GET /quarantine/segments} and {@code
 * POST /quarantine/segments/lift} with a {@link SegmentLiftRequest} do the same for segments of prompts.
 */
public final class QuarantineEndpoint {

    /** The path that lists the requests in quarantine, and the prefix of all paths of this endpoint. */
    public static final String LIST_PATH = "/quarantine";

    /** The path that lifts a quarantine. */
    public static final String LIFT_PATH = LIST_PATH + "/lift";

    /** The path that lists the segments that are held back. */
    public static final String SEGMENTS_PATH = LIST_PATH + "/segments";

    /** The path that lifts a segment. */
    public static final String LIFT_SEGMENT_PATH = SEGMENTS_PATH + "/lift";

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int HEX_RADIX = 16;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final SuspectRegistry suspects;
    private final SegmentQuarantine segments;

    /**
     * Creates the endpoint.
     *
     * @param suspects the registry of suspected requests, not null
     * @param segments the segments that are held back, not null
     */
    public QuarantineEndpoint(SuspectRegistry suspects, SegmentQuarantine segments) {
        this.suspects = Objects.requireNonNull(suspects, "suspects");
        this.segments = Objects.requireNonNull(segments, "segments");
    }

    /**
     * Handles a call.
     *
     * @param method the HTTP method, not null
     * @param path the path, not null
     * @param body the JSON body, empty if there is none, not null
     * @return the response
     */
    public Response handle(String method, String path, String body) {
        if (method.equals("GET") && path.equals(LIST_PATH)) {
            return json(OK, suspects.listQuarantined());
        }
        if (method.equals("POST") && path.equals(LIFT_PATH)) {
            return lift(body);
        }
        if (method.equals("GET") && path.equals(SEGMENTS_PATH)) {
            return json(OK, segments.list());
        }
        if (method.equals("POST") && path.equals(LIFT_SEGMENT_PATH)) {
            return liftSegment(body);
        }
        return json(NOT_FOUND, new Problem("not found: " + method + " " + path));
    }

    private Response lift(String body) {
        try {
            String fingerprint = MAPPER.readValue(body, LiftRequest.class).fingerprint();
            boolean lifted = suspects.lift(Long.parseUnsignedLong(fingerprint, HEX_RADIX));
            return json(OK, new LiftResponse(fingerprint, lifted));
        } catch (JsonProcessingException | NumberFormatException _e) {
            return json(BAD_REQUEST, new Problem("fingerprint must be a hexadecimal number of at most 16 digits"));
        }
    }

    private Response liftSegment(String body) {
        try {
            SegmentLiftRequest request = MAPPER.readValue(body, SegmentLiftRequest.class);
            if (request.segment().isEmpty()) {
                return json(BAD_REQUEST, new Problem("segment must not be empty"));
            }
            boolean lifted = segments.lift(request.model(), request.segment());
            return json(OK, new SegmentLiftResponse(request.model(), request.segment(), lifted));
        } catch (JsonProcessingException _e) {
            return json(BAD_REQUEST, new Problem("the body must be a JSON object with model and segment"));
        }
    }

    private static Response json(int status, Object value) {
        try {
            return new Response(status, MAPPER.writeValueAsString(value));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("quarantine response could not be serialized as JSON", e);
        }
    }

    /**
     * A response with a JSON body.
     *
     * @param status the HTTP status
     * @param body the JSON body, not null
     */
    public record Response(int status, String body) {}

    /**
     * The body of a call that lifts a quarantine.
     *
     * @param fingerprint the request's fingerprint in hexadecimal digits
     */
    public record LiftRequest(String fingerprint) {

        /** Replaces a missing fingerprint by an empty string, which is rejected as malformed. */
        public LiftRequest {
            fingerprint = fingerprint == null ? "" : fingerprint;
        }
    }

    /**
     * The result of a call that lifts a quarantine.
     *
     * @param fingerprint the request's fingerprint in hexadecimal digits
     * @param lifted whether the request was in quarantine on the instance that was called; the other instances are
     *     notified in either case
     */
    public record LiftResponse(String fingerprint, boolean lifted) {}

    /**
     * The body of a call that lifts a segment.
     *
     * @param model the name of the model
     * @param segment the segment's id
     */
    public record SegmentLiftRequest(String model, String segment) {

        /** Replaces missing fields by empty strings. */
        public SegmentLiftRequest {
            model = model == null ? "" : model;
            segment = segment == null ? "" : segment;
        }
    }

    /**
     * The result of a call that lifts a segment.
     *
     * @param model the name of the model
     * @param segment the segment's id
     * @param lifted whether it was held back on the instance that was called; the other instances are notified in
     *     either case
     */
    public record SegmentLiftResponse(String model, String segment, boolean lifted) {}

    /**
     * The body of an error response.
     *
     * @param detail a human-readable description of the error
     */
    public record Problem(String detail) {}
}
