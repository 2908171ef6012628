package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.base.Splitter;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.settings.Settings;
import org.dogwoodwinch.settings.SettingsLoader;
import org.dogwoodwinch.settings.SettingsResult;
import org.dogwoodwinch.standin.StandInEngineObserver;
import org.dogwoodwinch.standin.StandInEngineOptions;
import org.dogwoodwinch.standin.StandInText;
import org.dogwoodwinch.standin.http.DaemonAddress;
import org.dogwoodwinch.standin.http.DemoCatalogue;
import org.dogwoodwinch.standin.http.FleetSetup;
import org.dogwoodwinch.standin.http.StandInFleet;
import org.dogwoodwinch.target.EngineRole;
import org.dogwoodwinch.time.SystemTimeSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** End-to-end test in one process: callers, a daemon on free ports, and stand-in back ends over HTTP. */
@Timeout(60)
class DaemonTest {

    /**
     * The maximum length of a response. Without it, each request would be accounted for with the 1,024 tokens that its
     * entry allows, and forty requests might exceed the deadline, depending on how many arrive before the first
     * response.
     */
    private static final int MAX_TOKENS = 64;

    private final EventLoopGroup group = new NioEventLoopGroup(4);
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2);
    private final HttpClient http = HttpClient.newHttpClient();
    private StandInFleet fleet;
    private Daemon daemon;
    private DaemonAddress address;

    @BeforeEach
    void start(@TempDir Path directory) throws IOException, InterruptedException {
        SystemTimeSource time = new SystemTimeSource(timers);
        fleet = new StandInFleet(group, time, 0, StandInEngineObserver.NONE);
        for (int i = 1; i <= 2; i++) {
            fleet.addEngine(
                    "booking-" + i,
                    "booking",
                    "booking-model",
                    EngineRole.MIXED,
                    "kakkanad",
                    StandInEngineOptions.STANDARD);
        }
        fleet.addService("script-check-1", DemoCatalogue.SCRIPT_CHECK, "kakkanad");
        daemon = new Daemon(
                createSettings(directory),
                new DaemonContext(time, group, () -> RandomSource.XO_RO_SHI_RO_128_PP.create(11)));
        daemon.start();
        address = new DaemonAddress("malabar-1", "kakkanad", daemon.callersPort(), daemon.operatorsPort(), 0);
        FleetSetup setup = new FleetSetup(http, fleet.addresses());
        setup.publish(address, DemoCatalogue.document());
        setup.awaitReady(address);
    }

    @AfterEach
    void stop() {
        daemon.close();
        fleet.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        timers.shutdownNow();
    }

    /**
     * Guards against mixed-up responses: forty concurrent callers send different prompts, and the engines' responses
     * are interleaved.
     */
    @Test
    void concurrentCallersReceiveTheirOwnCompleteResponses() throws IOException {
        List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            responses.add(http.sendAsync(completionRequest("prompt " + i, i % 2 == 0), BodyHandlers.ofString()));
        }
        for (int i = 0; i < 40; i++) {
            HttpResponse<String> response = responses.get(i).join();
            assertEquals(200, response.statusCode(), response.body());
            assertEquals(StandInText.answer("prompt " + i, MAX_TOKENS), responseText(response.body()));
        }
    }

    @Test
    void plainServiceRequestRunsOnce() throws IOException, InterruptedException {
        HttpResponse<String> response = http.send(
                request("/services/script-check/checks?reel=4", DemoCatalogue.COMPLIANCE_TOKEN, "script"),
                BodyHandlers.ofString());
        assertEquals("script-check-1 did POST /checks?reel=4 script", response.body());
        assertEquals(1, fleet.serviceRuns());
    }

    /**
     * An instance that is stopped while a response is streamed reports that it is not ready, refuses new requests as
     * not run, and exits only after the response is complete.
     */
    @Test
    void stopCompletesRunningRequests() throws IOException, InterruptedException {
        CompletableFuture<HttpResponse<String>> runningRequest =
                http.sendAsync(completionRequest("long one [tokens=60]", true), BodyHandlers.ofString());
        awaitOperatorResponse("/status", body -> body.contains("\"inFlightRequests\":1"));
        CompletableFuture<Integer> exitCode = daemon.stop().toCompletableFuture();
        assertEquals(503, getFromOperatorPort("/readyz").statusCode());
        awaitStoppingRefusal();
        assertEquals(0, exitCode.join());
        assertEquals(
                StandInText.answer("long one [tokens=60]", MAX_TOKENS),
                responseText(runningRequest.join().body()));
    }

    @Test
    void operatorEndpointsReportFleetState() throws IOException, InterruptedException {
        awaitOperatorResponse("/status", body -> body.contains("\"name\":\"booking-2\""));
        String body = getFromOperatorPort("/status").body();
        assertTrue(body.contains("\"ready\":true") && body.contains("\"logReachable\":true"), body);
        assertEquals(404, getFromOperatorPort("/nothing").statusCode());
        assertEquals("[]", getFromOperatorPort("/quarantine").body());
        String metrics = getFromOperatorPort("/metrics").body();
        assertTrue(metrics.contains("dogwoodwinch_catalogue_revision "), metrics);
        assertFalse(metrics.contains("dogwoodwinch_catalogue_revision -1"), metrics);
    }

    private void awaitStoppingRefusal() throws IOException, InterruptedException {
        HttpResponse<String> response;
        do {
            response = http.send(completionRequest("late", false), BodyHandlers.ofString());
        } while (response.statusCode() == 200);
        assertEquals(503, response.statusCode());
        assertEquals(
                "stopping",
                response.headers().firstValue("Dogwoodwinch-Refusal").orElse(""));
    }

    private void awaitOperatorResponse(String path, java.util.function.Predicate<String> condition)
            throws IOException, InterruptedException {
        while (!condition.test(getFromOperatorPort(path).body())) {
            Thread.onSpinWait();
        }
    }

    private HttpResponse<String> getFromOperatorPort(String path) throws IOException, InterruptedException {
        return http.send(
                HttpRequest.newBuilder(URI.create(address.operatorsUrl() + path))
                        .build(),
                BodyHandlers.ofString());
    }

    private HttpRequest completionRequest(String prompt, boolean stream) {
        String body = "{\"model\":\"slot-confirmation\",\"prompt\":\"" + prompt + "\",\"stream\":" + stream
                + ",\"max_tokens\":" + MAX_TOKENS + "}";
        return request("/v1/completions", DemoCatalogue.BOOKING_TOKEN, body);
    }

    private HttpRequest request(String path, String token, String body) {
        return HttpRequest.newBuilder(URI.create(address.callersUrl() + path))
                .header("Authorization", "Bearer " + token)
                .POST(BodyPublishers.ofString(body))
                .build();
    }

    private static String responseText(String body) throws IOException {
        ObjectMapper mapper = new ObjectMapper();
        if (!body.startsWith("data: ")) {
            return choiceText(mapper.readTree(body));
        }
        assertTrue(body.endsWith("data: [DONE]\n\n"), body);
        StringBuilder text = new StringBuilder();
        for (String event : Splitter.on("\n\n").omitEmptyStrings().split(body)) {
            String data = event.substring("data: ".length());
            if (!data.equals("[DONE]")) {
                text.append(choiceText(mapper.readTree(data)));
            }
        }
        return text.toString();
    }

    private static String choiceText(JsonNode response) {
        return response.path("choices").path(0).path("text").asText();
    }

    private Settings createSettings(Path directory) throws IOException {
        Path secret = Files.writeString(directory.resolve("secret"), "a secret of the test, long enough to be one");
        String json = "{\"instance\":{\"name\":\"malabar-1\",\"dataCentre\":\"kakkanad\"},\"callers\":{\"port\":0},"
                + "\"operators\":{\"port\":0},\"admission\":{\"limitHomeIndex\":0,\"limitHomesCount\":1},\"peers\":{\"port\":0,\"secretFile\":\""
                + secret + "\"},"
                + "\"stop\":{\"notReadyMillis\":50,\"drainMillis\":20000},"
                + "\"platform\":{\"logUrl\":\"" + fleet.addresses().logUrl() + "\",\"instanceListUrl\":\""
                + fleet.addresses().instanceListUrl() + "\",\"weightStoreUrl\":\""
                + fleet.addresses().weightStoreUrl() + "\",\"instanceListPollMillis\":50}}";
        SettingsResult result = SettingsLoader.parse("test", json);
        return result.match(loaded -> (Settings) loaded, problems -> {
            throw new AssertionError(problems);
        });
    }
}
