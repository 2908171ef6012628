package org.dogwoodwinch.external.http;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.external.InstanceList;
import org.dogwoodwinch.external.ListedInstance;
import org.dogwoodwinch.target.ServiceAnswer;
import org.dogwoodwinch.target.http.HttpCaller;
import org.dogwoodwinch.target.http.TargetJson;

/** The platform's instance list over HTTP. */
public final class HttpInstanceList implements InstanceList {

    private static final int OK = 200;
    private static final long CALL_MILLIS = 3_000;

    private final HttpCaller caller;
    private final String url;

    /**
     * Creates the adapter.
     *
     * @param caller sends the calls, not null
     * @param baseUrl where the platform's list is, not null
     */
    public HttpInstanceList(HttpCaller caller, String baseUrl) {
        this.caller = Objects.requireNonNull(caller, "caller");
        this.url = Objects.requireNonNull(baseUrl, "baseUrl") + "/instances";
    }

    @Override
    public CompletionStage<Optional<List<ListedInstance>>> read() {
        return caller.call("GET", url, "", Bytes.EMPTY, CALL_MILLIS)
                .thenApply(reply -> reply.match(HttpInstanceList::parse, _failure -> Optional.empty()));
    }

    private static Optional<List<ListedInstance>> parse(ServiceAnswer answer) {
        if (answer.status() != OK) {
            return Optional.empty();
        }
        return TargetJson.readList(answer.body().toByteArray(), ListedInstance.class);
    }
}
