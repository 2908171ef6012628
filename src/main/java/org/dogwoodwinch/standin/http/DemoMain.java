package org.dogwoodwinch.standin.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import org.dogwoodwinch.target.http.TargetJson;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The caller of {@code bin/demo}: sets running daemons up, sends requests and prints what came back. */
@Command(name = "demo-client", description = "Sends requests to daemons that bin/demo started.")
public final class DemoMain implements Callable<Integer> {

    private static final Duration CALL = Duration.ofSeconds(30);
    private static final long START_POLL_MILLIS = 100;
    private static final int START_POLLS = 600;
    private static final String ROW = "  %-34s %-12s %6s  %-18s %s%n";
    private static final String DATA = "data: ";

    @Option(names = "--standins", required = true, description = "The stand-ins' line of JSON.")
    private Path standInsFile;

    @Option(names = "--daemon-log", required = true, description = "The log of a daemon; once for each.")
    private List<Path> daemonLogs;

    private final HttpClient http = HttpClient.newHttpClient();
    private final List<Outcome> outcomes = new ArrayList<>();

    /**
     * Runs the demo's caller.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        System.exit(new CommandLine(new DemoMain()).execute(args));
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        StandInAddresses standIns = TargetJson.read(Files.readAllBytes(standInsFile), StandInAddresses.class)
                .orElseThrow();
        List<DaemonAddress> daemons = awaitDaemons();
        FleetSetup setup = new FleetSetup(http, standIns);
        setup.list(daemons);
        setup.publish(daemons.get(0), DemoCatalogue.document());
        for (DaemonAddress daemon : daemons) {
            setup.awaitReady(daemon);
        }
        sendAll(daemons);
        printTable(daemons);
        return outcomes.stream().allMatch(Outcome::asExpected) ? 0 : 1;
    }

    private void sendAll(List<DaemonAddress> daemons) throws IOException, InterruptedException {
        for (int i = 0; i < daemons.size(); i++) {
            String prompt = "Confirm slot " + (i + 1) + " for the first show.";
            streamed(daemons.get(i), DemoCatalogue.BOOKING_TOKEN, DemoCatalogue.SLOT_CONFIRMATION, prompt, 200);
        }
        DaemonAddress first = daemons.get(0);
        DaemonAddress second = daemons.get(1 % daemons.size());
        streamed(
                second,
                DemoCatalogue.COMPLIANCE_TOKEN,
                DemoCatalogue.CENSOR_SUMMARY,
                "Summarise note 7. [tokens=24]",
                200);
        service(first);
        streamed(second, "a-wrong-token", DemoCatalogue.SLOT_CONFIRMATION, "Confirm.", 401);
        streamed(first, DemoCatalogue.COMPLIANCE_TOKEN, DemoCatalogue.SLOT_CONFIRMATION, "Confirm.", 403);
        streamed(second, DemoCatalogue.BOOKING_TOKEN, "no-such-entry", "Confirm.", 404);
    }

    private void streamed(DaemonAddress daemon, String token, String entry, String prompt, int expected)
            throws IOException, InterruptedException {
        String body = "{\"model\":\"" + entry + "\",\"stream\":true,\"prompt\":\"" + prompt + "\"}";
        HttpRequest request = request(daemon.callersUrl() + "/v1/completions", token, body);
        HttpResponse<Stream<String>> response = http.send(request, BodyHandlers.ofLines());
        System.out.printf("%n%s to %s: %s%n  ", entry, daemon.name(), prompt);
        try (Stream<String> lines = response.body()) {
            lines.forEach(DemoMain::printLine);
        }
        System.out.println();
        note("streamed " + entry, daemon, response, expected);
    }

    private void service(DaemonAddress daemon) throws IOException, InterruptedException {
        String url = daemon.callersUrl() + "/services/" + DemoCatalogue.SCRIPT_CHECK + "/checks?reel=12";
        HttpResponse<String> response =
                http.send(request(url, DemoCatalogue.COMPLIANCE_TOKEN, "a script"), BodyHandlers.ofString());
        System.out.printf("%n%s to %s:%n  %s%n", DemoCatalogue.SCRIPT_CHECK, daemon.name(), response.body());
        note("plain service " + DemoCatalogue.SCRIPT_CHECK, daemon, response, 200);
    }

    private void note(String what, DaemonAddress daemon, HttpResponse<?> response, int expected) {
        String refusal = response.headers().firstValue("Dogwoodwinch-Refusal").orElse("");
        String requestId =
                response.headers().firstValue("Dogwoodwinch-Request-Id").orElse("");
        outcomes.add(new Outcome(what, daemon.name(), response.statusCode(), refusal, requestId, expected));
    }

    private void printTable(List<DaemonAddress> daemons) {
        System.out.printf("%nOutcomes%n" + ROW, "request", "instance", "status", "refusal", "request id");
        for (Outcome outcome : outcomes) {
            System.out.printf(
                    ROW, outcome.what(), outcome.instance(), outcome.status(), outcome.refusal(), outcome.requestId());
        }
        System.out.printf("%nMetrics and status%n");
        for (DaemonAddress daemon : daemons) {
            System.out.printf(
                    "  %s: %s/metrics %s/status%n", daemon.name(), daemon.operatorsUrl(), daemon.operatorsUrl());
        }
    }

    private List<DaemonAddress> awaitDaemons() throws IOException, InterruptedException {
        List<DaemonAddress> found = new ArrayList<>();
        for (int poll = 0; poll < START_POLLS && found.size() < daemonLogs.size(); poll++) {
            found.clear();
            for (Path logFile : daemonLogs) {
                DaemonAddress.find(logFile).ifPresent(found::add);
            }
            Thread.sleep(START_POLL_MILLIS);
        }
        if (found.size() < daemonLogs.size()) {
            throw new IOException("only " + found.size() + " daemons started");
        }
        return found;
    }

    private static HttpRequest request(String url, String token, String body) {
        return HttpRequest.newBuilder(URI.create(url))
                .timeout(CALL)
                .header("Authorization", "Bearer " + token)
                .POST(BodyPublishers.ofString(body))
                .build();
    }

    private static void printLine(String line) {
        if (!line.startsWith(DATA)) {
            System.out.print(line);
            return;
        }
        byte[] json = line.substring(DATA.length()).getBytes(StandardCharsets.UTF_8);
        TargetJson.read(json, JsonNode.class)
                .map(piece -> piece.path("choices").path(0).path("text").asText(""))
                .ifPresent(System.out::print);
        System.out.flush();
    }

    private record Outcome(
            String what, String instance, int status, String refusal, String requestId, int expectedStatus) {

        boolean asExpected() {
            return status == expectedStatus;
        }
    }
}
