package org.dogwoodwinch.standin.http;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.control.EditRequest;
import org.dogwoodwinch.external.ListedInstance;
import org.dogwoodwinch.target.http.TargetJson;

/** Sets daemons up as operators would: lists them, hands the catalogue in and waits until they are ready. */
public final class FleetSetup {

    private static final Duration CALL = Duration.ofSeconds(15);
    private static final long POLL_MILLIS = 100;
    private static final int OK = 200;
    private static final int NO_CONTENT = 204;

    private final HttpClient http;
    private final StandInAddresses standIns;

    /**
     * Creates a setup.
     *
     * @param http sends the calls, not null
     * @param standIns where the platform is, not null
     */
    public FleetSetup(HttpClient http, StandInAddresses standIns) {
        this.http = Objects.requireNonNull(http, "http");
        this.standIns = Objects.requireNonNull(standIns, "standIns");
    }

    /**
     * Puts daemons into the instance list.
     *
     * @param daemons the daemons, not null
     * @throws IOException if the list refuses
     * @throws InterruptedException if the thread is interrupted
     */
    public void list(List<DaemonAddress> daemons) throws IOException, InterruptedException {
        for (DaemonAddress daemon : daemons) {
            ListedInstance line = new ListedInstance(
                    daemon.name(),
                    ListedInstance.Kind.ENTRY,
                    "127.0.0.1",
                    daemon.callersPort(),
                    daemon.peersPort(),
                    daemon.dataCentre(),
                    false,
                    "");
            post(standIns.instanceListUrl() + "/instances", TargetJson.write(line), NO_CONTENT);
        }
    }

    /**
     * Hands a catalogue in as the first edit.
     *
     * @param daemon the instance that it is handed to, not null
     * @param document the catalogue, not null
     * @throws IOException if it is not accepted
     * @throws InterruptedException if the thread is interrupted
     */
    public void publish(DaemonAddress daemon, String document) throws IOException, InterruptedException {
        waitForOk(daemon.operatorsUrl() + "/control/catalogue");
        EditRequest edit = new EditRequest("setup-1", "setup", document);
        post(daemon.operatorsUrl() + "/control/catalogue/edits", TargetJson.write(edit), OK);
    }

    /**
     * Waits until a daemon is ready.
     *
     * @param daemon the daemon, not null
     * @throws IOException if it is not ready in time
     * @throws InterruptedException if the thread is interrupted
     */
    public void awaitReady(DaemonAddress daemon) throws IOException, InterruptedException {
        waitForOk(daemon.operatorsUrl() + "/readyz");
    }

    private void waitForOk(String url) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(url)).timeout(CALL).build();
        String last = "";
        for (long waitedMillis = 0; waitedMillis < CALL.toMillis(); waitedMillis += POLL_MILLIS) {
            HttpResponse<String> response = http.send(request, BodyHandlers.ofString());
            if (response.statusCode() == OK) {
                return;
            }
            last = response.body();
            Thread.sleep(POLL_MILLIS);
        }
        throw new IOException(url + " did not become ready: " + last);
    }

    private void post(String url, byte[] json, int expectedStatus) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create(url))
                .timeout(CALL)
                .POST(BodyPublishers.ofString(Bytes.of(json).toUtf8()))
                .build();
        HttpResponse<String> response = http.send(request, BodyHandlers.ofString());
        if (response.statusCode() != expectedStatus) {
            throw new IOException(url + " answered " + response.statusCode() + ": " + response.body());
        }
    }
}
