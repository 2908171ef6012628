package org.dogwoodwinch.external.http;

import java.util.Objects;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.external.WeightStore;
import org.dogwoodwinch.target.http.HttpCaller;

/** The platform's weight store over HTTP. */
public final class HttpWeightStore implements WeightStore {

    private static final long CALL_MILLIS = 3_000;
    private static final int UNKNOWN = 0;

    private final HttpCaller caller;
    private final String url;

    /**
     * The store's answer.
     *
     * @param loadsPerMinute the loads a minute that it allows the whole fleet
     */
    public record Allowance(int loadsPerMinute) {}

    /**
     * Creates the adapter.
     *
     * @param caller sends the calls, not null
     * @param baseUrl where the store is, not null
     */
    public HttpWeightStore(HttpCaller caller, String baseUrl) {
        this.caller = Objects.requireNonNull(caller, "caller");
        this.url = Objects.requireNonNull(baseUrl, "baseUrl") + "/allowance";
    }

    @Override
    public CompletionStage<Integer> allowedLoadsPerMinute() {
        return caller.callJson("GET", url, Bytes.EMPTY, CALL_MILLIS, Allowance.class)
                .thenApply(reply -> reply.match(Allowance::loadsPerMinute, _failure -> UNKNOWN));
    }
}
