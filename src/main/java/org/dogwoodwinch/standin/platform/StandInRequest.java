package org.dogwoodwinch.standin.platform;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.dogwoodwinch.bytes.Bytes;

/**
 * A request to a stand-in.
 *
 * @param method its method, not null
 * @param uri path and query, not null
 * @param headers its headers, not null
 * @param body its body, not null
 */
public record StandInRequest(String method, String uri, HttpHeaders headers, Bytes body) {

    /** Checks. */
    public StandInRequest {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(uri, "uri");
        Objects.requireNonNull(headers, "headers");
        Objects.requireNonNull(body, "body");
    }

    /**
     * Returns the path.
     *
     * @return the path without the query
     */
    public String path() {
        return new QueryStringDecoder(uri).path();
    }

    /**
     * Returns a parameter of the query.
     *
     * @param name its name, not null
     * @return its first value
     */
    public Optional<String> parameter(String name) {
        List<String> values = new QueryStringDecoder(uri).parameters().get(name);
        return values == null ? Optional.empty() : Optional.of(values.get(0));
    }

    /**
     * Returns a whole number of the query.
     *
     * @param name its name, not null
     * @return the number, empty where it is missing
     */
    public OptionalLong number(String name) {
        Optional<String> text = parameter(name);
        return text.isEmpty() ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(text.get()));
    }

    /**
     * Returns a header.
     *
     * @param name its name, not null
     * @return its value, or an empty text
     */
    public String header(String name) {
        return headers.get(name, "");
    }

    /**
     * Returns the parts of the prompt that other requests may share.
     *
     * @return the ids of all parts but the last, which belongs to the request alone; none without a prompt
     */
    public Stream<String> sharedPromptParts() {
        String[] entries = header("prompt-prefix").split(",", -1);
        return Arrays.stream(entries)
                .limit(entries.length - 1)
                .map(entry -> entry.substring(0, Math.max(0, entry.indexOf(':'))));
    }
}
