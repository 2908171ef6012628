package org.dogwoodwinch.standin.http;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.standin.StandInEngineObserver;
import org.dogwoodwinch.target.http.RefusalBody;

/**
 * A stand-in plain service: answers with what it was asked, and counts how often it ran.
 *
 * <p>A path with {@code refuse} is refused without running; one with {@code cut} runs and breaks the connection off.
 */
final class PlainService implements StandInService {

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final String name;
    private final StandInEngineObserver observer;
    private final AtomicLong runs = new AtomicLong();

    /**
     * Creates a service.
     *
     * @param name its name as a target, not null
     * @param observer hears of each run, not null
     */
    PlainService(String name, StandInEngineObserver observer) {
        this.name = Objects.requireNonNull(name, "name");
        this.observer = Objects.requireNonNull(observer, "observer");
    }

    /**
     * Returns how often it ran.
     *
     * @return the count
     */
    long runs() {
        return runs.get();
    }

    @Override
    public void handle(StandInCall call, StandInReply reply) {
        if (call.uri().contains("refuse")) {
            reply.refuse(
                    new RefusalBody(UNAVAILABLE, RefusalBody.OVERLOADED, RefusalBody.NOT_RUN, "too many calls", 1_000));
            return;
        }
        observer.onExecuted(
                name, name + "-" + runs.incrementAndGet(), call.body().toUtf8());
        if (call.uri().contains("cut")) {
            reply.cut();
            return;
        }
        String text = name + " did " + call.method() + " " + call.uri() + " "
                + call.body().toUtf8();
        reply.whole(OK, "text/plain; charset=utf-8", Bytes.ofUtf8(text).toByteArray());
    }
}
