package org.dogwoodwinch.request;

import java.util.Objects;
import java.util.function.Function;
import org.dogwoodwinch.bytes.Bytes;

/** What a caller wants done. */
public sealed interface Work {

    /**
     * Generate an answer.
     *
     * @param prompt the whole prompt, not null
     * @param promptTokens its length in tokens, estimated
     * @param maxTokens the most tokens to generate
     */
    record Generate(String prompt, long promptTokens, int maxTokens) implements Work {

        /** Checks the parts. */
        public Generate {
            Objects.requireNonNull(prompt, "prompt");
        }
    }

    /**
     * Call a plain service.
     *
     * @param method the HTTP method, not null
     * @param path the path below the service's root, with its query, not null
     * @param contentType the body's media type, not null
     * @param body the body, not null
     */
    record Service(String method, String path, String contentType, Bytes body) implements Work {

        /** Checks the parts. */
        public Service {
            Objects.requireNonNull(method, "method");
            Objects.requireNonNull(path, "path");
            Objects.requireNonNull(contentType, "contentType");
            Objects.requireNonNull(body, "body");
        }
    }

    /**
     * Calls the function of this work's kind.
     *
     * @param generate for {@link Generate}
     * @param service for {@link Service}
     * @param <T> what the functions return
     * @return what the function returned
     */
    default <T> T match(Function<Generate, T> generate, Function<Service, T> service) {
        if (this instanceof Generate value) {
            return generate.apply(value);
        }
        return service.apply((Service) this);
    }
}
