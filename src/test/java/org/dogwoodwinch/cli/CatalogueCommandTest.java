package org.dogwoodwinch.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import org.dogwoodwinch.catalogue.CatalogueCodec;
import org.dogwoodwinch.catalogue.SampleCatalogues;
import org.dogwoodwinch.control.ControlEndpoint;
import org.dogwoodwinch.control.ControlNodeFixtures;
import org.dogwoodwinch.control.ControlResponse;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

class CatalogueCommandTest {

    private final VirtualTimeSource time = new VirtualTimeSource(1_000_000);
    private final ControlEndpoint endpoint = new ControlEndpoint(ControlNodeFixtures.newStartedNode(time));
    private final StringWriter out = new StringWriter();
    private HttpServer server;

    @TempDir
    private Path folder;

    @BeforeEach
    void serve() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", this::answer);
        server.start();
    }

    @AfterEach
    void stop() {
        server.stop(0);
    }

    /** An operator applies an edit, runs the same command again, and then edits a base that is gone. */
    @Test
    void applySaysAcceptedAndRejectedAndIsSafeToRunAgain() throws IOException {
        String first = file("first.json", -1, 100);
        assertEquals(ExitCodes.DONE, run("catalogue", "diff", first));
        assertEquals(ExitCodes.DONE, run("catalogue", "apply", first, "--author", "meera", "--edit-id", "e1"));
        assertEquals(ExitCodes.DONE, run("catalogue", "apply", first, "--author", "meera", "--edit-id", "e1"));
        assertEquals(ExitCodes.REFUSED, run("catalogue", "apply", file("second.json", -1, 200), "--author", "joao"));
        assertTrue(out.toString().contains("rejected: edit e1 by meera came first"), out::toString);
        assertEquals(ExitCodes.DONE, run("catalogue", "status", "e1"));
        assertEquals(ExitCodes.UNKNOWN, run("catalogue", "status", "nobody"));
        assertEquals(ExitCodes.DONE, run("catalogue", "history"));
        assertEquals(ExitCodes.DONE, run("catalogue", "get"));
        assertTrue(out.toString().contains("\"deadlineMillis\" : 100"), out::toString);
    }

    @Test
    void aFaultyFileIsRefusedWithItsFields() throws IOException {
        Path file = Files.writeString(folder.resolve("faulty.json"), "{ \"owners\": 3 }");
        assertEquals(ExitCodes.REFUSED, run("catalogue", "apply", file.toString()));
        assertTrue(out.toString().contains("owners: a list is wanted"), out::toString);
        assertEquals(
                ExitCodes.REFUSED,
                run("catalogue", "diff", folder.resolve("missing.json").toString()));
    }

    @Test
    void plansAreRefusedForEnginesThatAreNotThere() {
        assertEquals(ExitCodes.REFUSED, run("plan", "apply", "DRAIN", "engine-9"));
        assertTrue(out.toString().contains("there is no engine 'engine-9'"), out::toString);
        assertEquals(ExitCodes.DONE, run("plan", "status"));
        assertEquals(ExitCodes.UNKNOWN, run("plan", "status", "p1"));
        assertEquals(ExitCodes.REFUSED, run("plan", "cancel", "p1"));
    }

    @Test
    void anInstanceThatDoesNotAnswerIsNamed() {
        server.stop(0);
        assertEquals(ExitCodes.UNREACHABLE, run("catalogue", "get"));
    }

    private String file(String name, long base, long deadlineMillis) throws IOException {
        String text = new CatalogueCodec().write(SampleCatalogues.withDeadline(base, deadlineMillis));
        return Files.writeString(folder.resolve(name), text).toString();
    }

    private int run(String... args) {
        String[] all = new String[args.length + 2];
        System.arraycopy(args, 0, all, 0, args.length);
        all[args.length] = "--instance";
        all[args.length + 1] = "http://127.0.0.1:" + server.getAddress().getPort();
        PrintWriter writer = new PrintWriter(out, true);
        return new CommandLine(new ControlCommand())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .setOut(writer)
                .setErr(writer)
                .execute(all);
    }

    /** All exchanges run on the server's one thread, which also advances the paused clock until there is an answer. */
    private void answer(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        CompletableFuture<ControlResponse> answer = endpoint.handle(
                        exchange.getRequestMethod(), exchange.getRequestURI().getPath(), body)
                .toCompletableFuture();
        while (!answer.isDone()) {
            time.advanceMillis(100);
        }
        ControlResponse response = answer.join();
        byte[] bytes = response.body().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", response.contentType());
        exchange.sendResponseHeaders(response.status(), bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }
}
