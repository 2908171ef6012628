package org.dogwoodwinch.standin.http;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Objects;
import org.dogwoodwinch.bytes.Bytes;

/**
 * One call to a stand-in.
 *
 * @param method the HTTP method, not null
 * @param uri path and query, not null
 * @param body the body, not null
 */
record StandInCall(String method, String uri, Bytes body) {

    /** Checks the parts. */
    StandInCall {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(uri, "uri");
        Objects.requireNonNull(body, "body");
    }

    /**
     * Returns the path.
     *
     * @return the path without the query
     */
    String path() {
        return new QueryStringDecoder(uri).path();
    }

    /**
     * Returns a number of the query.
     *
     * @param name its name, not null
     * @param otherwise what counts where it is missing
     * @return the number
     */
    long number(String name, long otherwise) {
        List<String> values = new QueryStringDecoder(uri).parameters().get(name);
        return values == null ? otherwise : Long.parseLong(values.get(0));
    }
}
