package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import org.dogwoodwinch.http.EdgeFixture;
import org.dogwoodwinch.http.ServingState;
import org.dogwoodwinch.http.WatchedTime;
import org.dogwoodwinch.metrics.Metrics;
import org.dogwoodwinch.request.Refusal;
import org.dogwoodwinch.request.RefusalReason;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Checks each refusal reason as returned to the caller and as counted. Reasons that the edge decides are provoked by
 * real requests; a scripted handler returns the others.
 */
class RefusalResponsesTest {

    private static final String COMPLETIONS = "/v1/completions";
    private static final String VALID_BODY = "{\"model\":\"slot\",\"prompt\":\"p\"}";
    private static final Set<RefusalReason> REASONS_DECIDED_BY_EDGE = EnumSet.of(
            RefusalReason.UNKNOWN_PATH,
            RefusalReason.METHOD_NOT_ALLOWED,
            RefusalReason.INVALID_REQUEST,
            RefusalReason.BODY_TOO_LARGE,
            RefusalReason.HEADERS_TOO_LARGE,
            RefusalReason.CALLER_TOO_SLOW,
            RefusalReason.UNAUTHENTICATED,
            RefusalReason.FORBIDDEN,
            RefusalReason.UNKNOWN_ENTRY,
            RefusalReason.TOO_MANY_TOKENS,
            RefusalReason.NOT_READY,
            RefusalReason.STOPPING,
            RefusalReason.INTERNAL);

    private final WatchedTime time = new WatchedTime();
    private final Metrics metrics = new Metrics(new PrometheusRegistry());
    private final EdgeFixture edge = new EdgeFixture(time, new EdgeReport(metrics), Optional.empty());

    @AfterEach
    void stop() {
        edge.close();
    }

    @ParameterizedTest
    @EnumSource(RefusalReason.class)
    void everyReasonIsReturnedAndCounted(RefusalReason reason) throws IOException {
        if (reason != RefusalReason.NOT_READY) {
            edge.giveCatalogue();
        }
        boolean mayHaveRun = reason == RefusalReason.MAY_HAVE_RUN || reason == RefusalReason.INTERNAL;
        HttpResponse<String> response = provokeRefusal(reason);
        if (response != null) {
            assertEquals(reason.status(), response.statusCode());
            assertEquals(
                    reason.label(),
                    response.headers().firstValue("Dogwoodwinch-Refusal").orElse(""));
            JsonNode problem = new ObjectMapper().readTree(response.body());
            assertEquals(reason.label(), problem.path("reason").asText());
            assertEquals(
                    mayHaveRun ? "may-have-run" : "not-run", problem.path("run").asText());
            assertEquals(reason.status(), problem.path("status").asInt());
            assertTrue(problem.path("requestId").asText().startsWith("r-"));
        }
        String counter = "dogwoodwinch_refusals_total{reason=\"" + reason.label() + "\",run=\""
                + (mayHaveRun ? "may-have-run" : "not-run") + "\"} 1.0";
        assertTrue(metricsText().contains(counter), counter);
    }

    @Test
    void refusalContainsRetryAfter() {
        edge.giveCatalogue();
        edge.handler()
                .onSubmit(submitted -> submitted
                        .sink()
                        .onRefused(Refusal.notRun(RefusalReason.QUEUE_FULL, "the queue is full", 1_200)));
        HttpResponse<String> response = edge.send("POST", COMPLETIONS, VALID_BODY);
        assertEquals("2", response.headers().firstValue("Retry-After").orElse(""));
        assertTrue(response.body().contains("\"retryAfterMillis\":1200"));
    }

    /** Returns the response, or null if it was read from a raw connection and checked there. */
    private HttpResponse<String> provokeRefusal(RefusalReason reason) throws IOException {
        if (!REASONS_DECIDED_BY_EDGE.contains(reason)) {
            edge.handler()
                    .onSubmit(submitted -> submitted
                            .sink()
                            .onRefused(
                                    reason == RefusalReason.MAY_HAVE_RUN
                                            ? Refusal.mayHaveRun(reason, "detail")
                                            : Refusal.notRun(reason, "detail", 0)));
            return edge.send("POST", COMPLETIONS, VALID_BODY);
        }
        return switch (reason) {
            case UNKNOWN_PATH -> edge.send("GET", "/nothing", "");
            case METHOD_NOT_ALLOWED -> edge.send("GET", COMPLETIONS, "");
            case INVALID_REQUEST -> edge.send("POST", COMPLETIONS, "{");
            case BODY_TOO_LARGE -> edge.send("POST", COMPLETIONS, "x".repeat(5_000));
            case HEADERS_TOO_LARGE -> edge.send("POST", COMPLETIONS, VALID_BODY, "X-Long", "x".repeat(3_000));
            case CALLER_TOO_SLOW -> sendIncompleteRequest();
            case UNAUTHENTICATED -> edge.send("POST", COMPLETIONS, VALID_BODY, "Authorization", "Bearer wrong");
            case FORBIDDEN -> edge.send("POST", COMPLETIONS, VALID_BODY.replace("slot", "foreign"));
            case UNKNOWN_ENTRY -> edge.send("POST", COMPLETIONS, VALID_BODY.replace("slot", "nothing"));
            case TOO_MANY_TOKENS ->
                edge.send("POST", COMPLETIONS, VALID_BODY.replace("\"p\"", "\"p\",\"max_tokens\":65"));
            case STOPPING -> sendWhileStopping();
            case INTERNAL -> sendToFailingHandler();
            default -> edge.send("POST", COMPLETIONS, VALID_BODY);
        };
    }

    private HttpResponse<String> sendWhileStopping() {
        edge.setServing(ServingState.STOPPING);
        return edge.send("POST", COMPLETIONS, VALID_BODY);
    }

    private HttpResponse<String> sendToFailingHandler() {
        edge.handler().onSubmit(_submitted -> {
            throw new IllegalStateException("injected fault");
        });
        return edge.send("POST", COMPLETIONS, VALID_BODY);
    }

    /**
     * Sends half a request line and then nothing. The caller receives a 408 and the connection is closed: the timeout
     * runs from the first byte, so sending further bytes slowly would not have extended it.
     */
    private HttpResponse<String> sendIncompleteRequest() throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), edge.port())) {
            socket.setSoTimeout(20_000);
            socket.getOutputStream().write("POST /v1/comp".getBytes(StandardCharsets.US_ASCII));
            time.awaitAndPass(EdgeFixture.LIMITS.arrivalMillis());
            byte[] statusLine = socket.getInputStream().readNBytes(12);
            assertEquals("HTTP/1.1 408", new String(statusLine, StandardCharsets.US_ASCII));
        }
        return null;
    }

    private String metricsText() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrometheusTextFormatWriter.create().write(out, metrics.registry().scrape());
        return out.toString(StandardCharsets.UTF_8);
    }
}
