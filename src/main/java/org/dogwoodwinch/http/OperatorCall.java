package org.dogwoodwinch.http;

import java.util.Objects;
import org.dogwoodwinch.bytes.Bytes;

/**
 * What an operator asks.
 *
 * @param method the HTTP method, not null
 * @param path the path, not null
 * @param query the query without its question mark; empty where there is none, not null
 * @param body the body, not null
 */
public record OperatorCall(String method, String path, String query, Bytes body) {

    /** Checks the parts. */
    public OperatorCall {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(query, "query");
        Objects.requireNonNull(body, "body");
    }
}
