package org.dogwoodwinch.cli;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

/** Calls an instance's operators' listener. */
public final class OperatorClient {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final String baseUrl;
    private final HttpClient client;

    /**
     * Creates a client.
     *
     * @param baseUrl the operators' listener, such as {@code http://127.0.0.1:8081}, not null
     */
    public OperatorClient(String baseUrl) {
        this.baseUrl = baseUrl.endsWith("/") ? baseUrl.substring(0, baseUrl.length() - 1) : baseUrl;
        this.client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(TIMEOUT)
                .build();
    }

    /**
     * Gets a path.
     *
     * @param path the path with its query, not null
     * @return the reply, or empty where the instance did not answer
     */
    public Optional<OperatorReply> get(String path) {
        return send(request(path).GET().build());
    }

    /**
     * Posts JSON.
     *
     * @param path the path with its query, not null
     * @param json the body, not null
     * @return the reply, or empty where the instance did not answer
     */
    public Optional<OperatorReply> post(String path, String json) {
        return send(request(path)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(json, StandardCharsets.UTF_8))
                .build());
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create(baseUrl + path)).timeout(TIMEOUT);
    }

    private Optional<OperatorReply> send(HttpRequest request) {
        try {
            HttpResponse<String> response = client.send(request, BodyHandlers.ofString(StandardCharsets.UTF_8));
            return Optional.of(new OperatorReply(response.statusCode(), response.body()));
        } catch (IOException e) {
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }
}
