package org.dogwoodwinch.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.dogwoodwinch.catalogue.Catalogue;
import org.dogwoodwinch.catalogue.CatalogueCodec;

/**
 * Maps HTTP requests below {@code /control} to {@link ControlApi}. It does no I/O, so it works with any HTTP listener.
 * Thread-safe.
 *
 * <p>Paths: {@code GET /control/status}, {@code GET /control/catalogue}, {@code GET /control/catalogue/history},
 * {@code POST /control/catalogue/edits} with an {@link EditRequest}, {@code GET /control/catalogue/edits/ID},
 * {@code GET /control/plans}, {@code POST /control/plans} with a {@link PlanRequest}, {@code GET /control/plans/ID},
 * {@code POST /control/plans/ID/cancel} with a {@link CancelRequest}.
 */
public final class ControlEndpoint {

    /** The common prefix of all paths of this endpoint. */
    public static final String PATH_PREFIX = "/control/";

    private static final String CATALOGUE = PATH_PREFIX + "catalogue";
    private static final String EDITS = CATALOGUE + "/edits";
    private static final String PLANS = PATH_PREFIX + "plans";
    private static final String CANCEL_SUFFIX = "/cancel";
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int UNPROCESSABLE = 422;
    private static final int UNAVAILABLE = 503;

    private final ControlApi api;
    private final ObjectMapper mapper = new ObjectMapper();
    private final CatalogueCodec catalogueCodec = new CatalogueCodec();

    /**
     * Creates the endpoint.
     *
     * @param api executes the requests, not null
     */
    public ControlEndpoint(ControlApi api) {
        this.api = Objects.requireNonNull(api, "api");
    }

    /**
     * Handles one request.
     *
     * @param method the HTTP method, not null
     * @param path the path without its query, not null
     * @param body the body, empty if there is none, not null
     * @return completes with the response, at the latest when the API call completes
     */
    public CompletionStage<ControlResponse> handle(String method, String path, String body) {
        if (method.equals("GET")) {
            return CompletableFuture.completedFuture(get(path));
        }
        if (method.equals("POST") && path.equals(EDITS)) {
            return post(
                    body, EditRequest.class, request -> api.applyEdit(request).thenApply(this::editResponse));
        }
        if (method.equals("POST") && path.equals(PLANS)) {
            return post(
                    body, PlanRequest.class, request -> api.requestPlan(request).thenApply(this::planResponse));
        }
        if (method.equals("POST") && path.startsWith(PLANS + "/") && path.endsWith(CANCEL_SUFFIX)) {
            String planId = path.substring(PLANS.length() + 1, path.length() - CANCEL_SUFFIX.length());
            return post(
                    body,
                    CancelRequest.class,
                    request -> api.cancelPlan(planId, request.author()).thenApply(this::planResponse));
        }
        return CompletableFuture.completedFuture(problemResponse(NOT_FOUND, "no resource for " + method + " " + path));
    }

    private ControlResponse get(String path) {
        if (path.equals(PATH_PREFIX + "status")) {
            return jsonResponse(OK, api.status());
        }
        if (path.equals(CATALOGUE)) {
            return api.catalogue()
                    .current()
                    .map(this::catalogueResponse)
                    .orElseGet(() -> api.status().caughtUp()
                            ? catalogueResponse(Catalogue.EMPTY)
                            : problemResponse(UNAVAILABLE, "this instance has no catalogue yet"));
        }
        if (path.equals(CATALOGUE + "/history")) {
            return jsonResponse(OK, api.history());
        }
        if (path.startsWith(EDITS + "/")) {
            return editResponse(api.editStatus(path.substring(EDITS.length() + 1)));
        }
        if (path.equals(PLANS)) {
            return jsonResponse(OK, api.plans());
        }
        if (path.startsWith(PLANS + "/")) {
            return planResponse(api.planStatus(path.substring(PLANS.length() + 1)));
        }
        return problemResponse(NOT_FOUND, "no resource for GET " + path);
    }

    private ControlResponse catalogueResponse(Catalogue catalogue) {
        return new ControlResponse(OK, "application/json", catalogueCodec.write(catalogue));
    }

    private <T> CompletionStage<ControlResponse> post(
            String body, Class<T> type, Function<T, CompletionStage<ControlResponse>> handler) {
        T request;
        try {
            request = mapper.readValue(body, type);
        } catch (JsonProcessingException e) {
            return CompletableFuture.completedFuture(problemResponse(BAD_REQUEST, e.getOriginalMessage()));
        }
        return request == null
                ? CompletableFuture.completedFuture(problemResponse(BAD_REQUEST, "the body must be a JSON object"))
                : handler.apply(request);
    }

    private ControlResponse planResponse(PlanAnswer answer) {
        int status = switch (answer.verdict()) {
            case TAKEN -> OK;
            case REFUSED -> CONFLICT;
            case UNKNOWN_YET -> ACCEPTED;
        };
        return jsonResponse(status, answer);
    }

    private ControlResponse editResponse(ApplyResult result) {
        ApplyAnswer answer = ApplyAnswer.of(result);
        return jsonResponse(statusOf(answer.verdict()), answer);
    }

    private static int statusOf(ApplyAnswer.Verdict verdict) {
        return switch (verdict) {
            case ACCEPTED -> OK;
            case REJECTED -> CONFLICT;
            case FAULTY -> UNPROCESSABLE;
            case UNKNOWN_YET -> ACCEPTED;
        };
    }

    private ControlResponse problemResponse(int status, String detail) {
        return new ControlResponse(status, "application/problem+json", write(new Problem("control", status, detail)));
    }

    private ControlResponse jsonResponse(int status, Object value) {
        return new ControlResponse(status, "application/json", write(value));
    }

    private String write(Object value) {
        try {
            return mapper.writerWithDefaultPrettyPrinter().writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize the control response", e);
        }
    }

    private record Problem(String title, int status, String detail) {}
}
