package org.dogwoodwinch.request;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;
import org.dogwoodwinch.admission.AdmissionController;
import org.dogwoodwinch.catalogue.CatalogueEntry;
import org.dogwoodwinch.routing.Router;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetClientFactory;
import org.dogwoodwinch.time.TimeSource;

/**
 * Processes each request from submission to its final answer: admission, routing, claim of the idempotency key,
 * attempts, retries and refusal.
 *
 * <p>Thread-safe; the events of one request are processed one at a time.
 */
public final class RequestCoordinator implements RequestHandler {

    private static final int ID_RADIX = 36;

    private final RequestContext context;
    private final AtomicInteger inFlight = new AtomicInteger();

    /**
     * Creates a coordinator.
     *
     * @param admission grants permits, not null
     * @param router chooses targets, not null
     * @param clients provides the clients that call targets, not null
     * @param targetLookup finds a target by name, to join a stream that a claim refers to, not null
     * @param modelLookup returns the model name under which engines serve a catalogue entry, not null
     * @param time the clock and timers, not null
     * @param random the source of randomness for attempt ids and back-off, not null; the caller must not use it
     *     afterwards
     * @param claimStore the claims of idempotency keys, not null
     * @param quarantine the requests suspected of crashing targets, not null
     * @param observer is notified of the events of all requests, not null
     * @param settings the settings, not null
     * @param policies the policies, {@link RequestPolicies#STANDARD} except in tests, not null
     */
    public RequestCoordinator(
            AdmissionController admission,
            Router router,
            TargetClientFactory clients,
            Function<String, Optional<Target>> targetLookup,
            Function<CatalogueEntry, String> modelLookup,
            TimeSource time,
            UniformRandomProvider random,
            ClaimStore claimStore,
            Quarantine quarantine,
            RequestObserver observer,
            RequestSettings settings,
            RequestPolicies policies) {
        Objects.requireNonNull(settings, "settings");
        // Two starts of one instance must not use the same attempt id, or an engine would mix up their streams.
        String incarnationId = Long.toUnsignedString(random.nextLong(), ID_RADIX);
        AtomicLong counter = new AtomicLong();
        this.context = new RequestContext(
                Objects.requireNonNull(admission, "admission"),
                Objects.requireNonNull(router, "router"),
                Objects.requireNonNull(clients, "clients"),
                Objects.requireNonNull(targetLookup, "targetLookup"),
                Objects.requireNonNull(modelLookup, "modelLookup"),
                Objects.requireNonNull(time, "time"),
                () -> incarnationId + "-" + Long.toString(counter.incrementAndGet(), ID_RADIX),
                Objects.requireNonNull(claimStore, "claimStore"),
                Objects.requireNonNull(quarantine, "quarantine"),
                Objects.requireNonNull(observer, "observer"),
                settings,
                Objects.requireNonNull(policies, "policies"),
                new RetryBudget(settings.retryFraction(), settings.retryBurst()),
                new JitteredBackoff(settings.backoffBaseMillis(), settings.backoffMaxMillis(), random));
    }

    @Override
    public RequestHandle submit(CallerRequest request, AnswerSink sink) {
        inFlight.incrementAndGet();
        RequestExecution run = new RequestExecution(context, request, sink, inFlight::decrementAndGet);
        run.start();
        return run;
    }

    /**
     * Returns the number of requests without a final answer; a draining daemon waits until it is zero.
     *
     * @return the count
     */
    public int inFlight() {
        return inFlight.get();
    }
}
