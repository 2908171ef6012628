package org.dogwoodwinch.request;

import java.util.Objects;
import java.util.function.Function;
import org.dogwoodwinch.bytes.Bytes;

/** The operation that a caller requests. */
public sealed interface Operation {

    /**
     * Generates an answer to a prompt.
     *
     * @param prompt the complete prompt, not null
     * @param promptTokens the estimated length of the prompt, in tokens
     * @param maxTokens the maximum number of tokens to generate
     */
    record Generate(String prompt, long promptTokens, int maxTokens) implements Operation {

        /** Checks that the prompt is not null. */
        public Generate {
            Objects.requireNonNull(prompt, "prompt");
        }
    }

    /**
     * Calls a plain service.
     *
     * @param method the HTTP method, not null
     * @param path the path relative to the service's root, including the query, not null
     * @param contentType the body's media type, not null
     * @param body the body, not null
     */
    record Service(String method, String path, String contentType, Bytes body) implements Operation {

        /** Checks that no component is null. */
        public Service {
            Objects.requireNonNull(method, "method");
            Objects.requireNonNull(path, "path");
            Objects.requireNonNull(contentType, "contentType");
            Objects.requireNonNull(body, "body");
        }
    }

    /**
     * Applies the function that corresponds to the type of this operation.
     *
     * @param generate for {@link Generate}
     * @param service for {@link Service}
     * @param <T> the result type of the functions
     * @return the result of the function applied
     */
    default <T> T match(Function<Generate, T> generate, Function<Service, T> service) {
        if (this instanceof Generate value) {
            return generate.apply(value);
        }
        return service.apply((Service) this);
    }
}
