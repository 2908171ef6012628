package org.dogwoodwinch.request;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;
import org.dogwoodwinch.admission.Admission;
import org.dogwoodwinch.catalogue.CatalogueEntry;
import org.dogwoodwinch.routing.Router;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetClients;
import org.dogwoodwinch.time.TimeSource;

/**
 * Sees each request through to its one answer: admission, route, claim, attempts, retries, refusal.
 *
 * <p>Safe to call from many threads; each request's own events run one at a time.
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
     * @param clients reaches targets, not null
     * @param targetLookup finds a target by its name, for joining streams that claims name, not null
     * @param modelLookup finds the model that engines know an entry by, not null
     * @param time the clock and timers, not null
     * @param random the source of chance for attempt ids and back-off, not null; not used by others afterwards
     * @param claimStore the claims of idempotency keys, not null
     * @param quarantine the suspects, not null
     * @param observer hears what becomes of requests, not null
     * @param settings what may be set, not null
     * @param policies the decisions, {@link RequestPolicies#STANDARD} outside of tests, not null
     */
    public RequestCoordinator(
            Admission admission,
            Router router,
            TargetClients clients,
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
        // Two starts of one instance must not use one attempt id twice: an engine would join their streams.
        String incarnationId = Long.toUnsignedString(random.nextLong(), ID_RADIX);
        AtomicLong counter = new AtomicLong();
        this.context = new RequestContext(
                Objects.requireNonNull(admission, "admission"),
                Objects.requireNonNull(router, "router"),
                Objects.requireNonNull(clients, "clients"),
                Objects.requireNonNull(targetLookup, "targets"),
                Objects.requireNonNull(modelLookup, "models"),
                Objects.requireNonNull(time, "time"),
                () -> incarnationId + "-" + Long.toString(counter.incrementAndGet(), ID_RADIX),
                Objects.requireNonNull(claimStore, "claims"),
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
     * Returns how many requests have not got their final answer yet; a draining daemon waits for zero.
     *
     * @return the count
     */
    public int inFlight() {
        return inFlight.get();
    }
}
