package org.dogwoodwinch.faultrun;

import java.util.List;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.commons.rng.UniformRandomProvider;
import org.dogwoodwinch.catalogue.WorkClass;
import org.dogwoodwinch.request.RunState;
import org.dogwoodwinch.standin.StandInText;
import org.dogwoodwinch.time.TimeSource;

/** Sends requests at a steady rate to the instances that a balancer would choose; resends keyed ones whose end is open. */
final class RunLoad {

    private static final int MOST_RESENDS = 3;
    private static final long RESEND_MILLIS = 300;

    private final Caller caller;
    private final InstanceWitness instances;
    private final UniformRandomProvider random;
    private final TimeSource time;
    private final long everyMillis;
    private final AtomicInteger open = new AtomicInteger();
    private final SortedMap<String, Long> outcomes = new TreeMap<>();
    private volatile boolean running;
    private long requests;

    /**
     * Creates a load that does not run yet.
     *
     * @param caller makes the calls, not null
     * @param instances knows which are ready, not null
     * @param random chooses, not null
     * @param time runs the timers, not null
     * @param everyMillis time between requests, in milliseconds
     */
    RunLoad(Caller caller, InstanceWitness instances, UniformRandomProvider random, TimeSource time, long everyMillis) {
        this.caller = Objects.requireNonNull(caller, "caller");
        this.instances = Objects.requireNonNull(instances, "instances");
        this.random = Objects.requireNonNull(random, "random");
        this.time = Objects.requireNonNull(time, "time");
        this.everyMillis = everyMillis;
    }

    /** Begins to send. */
    void start() {
        running = true;
        tick();
    }

    /** Sends nothing new; what is open goes on. */
    void stop() {
        running = false;
    }

    /**
     * Returns how many requests have not ended.
     *
     * @return the count
     */
    int open() {
        return open.get();
    }

    /**
     * Sends one request beside the steady ones.
     *
     * @param plan the request, not null
     */
    void send(CallPlan plan) {
        open.incrementAndGet();
        send(plan, 0);
    }

    /**
     * Returns how calls ended.
     *
     * @return counts by entry and end
     */
    synchronized SortedMap<String, Long> outcomes() {
        return new TreeMap<>(outcomes);
    }

    private void tick() {
        if (!running) {
            return;
        }
        send(next());
        time.schedule(everyMillis, this::tick);
    }

    private void send(CallPlan plan, int resends) {
        List<RunDaemon> ready = instances.ready();
        if (ready.isEmpty()) {
            count("no instance was ready");
            open.decrementAndGet();
            return;
        }
        RunDaemon daemon = ready.get(index(ready.size()));
        CompletionStage<CallResult> call = caller.call(plan, daemon.name(), daemon.callersPort());
        call.whenComplete((result, _error) -> ended(plan, resends, result));
    }

    private void ended(CallPlan plan, int resends, CallResult result) {
        count(plan.entry() + ": " + label(result));
        boolean endIsOpen = result instanceof CallResult.Lost
                || (result instanceof CallResult.Refused refused && refused.run() == RunState.MAY_HAVE_RUN);
        if (!plan.repeatable() && endIsOpen && resends < MOST_RESENDS) {
            time.schedule(RESEND_MILLIS, () -> send(plan, resends + 1));
        } else {
            open.decrementAndGet();
        }
    }

    private synchronized CallPlan next() {
        String id = "r" + requests++;
        return switch (random.nextInt(10)) {
            case 0, 1, 2 -> generate(id, "slot", WorkClass.URGENT, true);
            case 3, 4 -> generate(id, "playlist", WorkClass.STANDARD, true);
            case 5, 6 -> generate(id, "notes", WorkClass.LONG_READ, true);
            case 7, 8 -> generate(id, "billed-check", WorkClass.STANDARD, false);
            default -> service(id);
        };
    }

    private CallPlan generate(String id, String entry, WorkClass workClass, boolean repeatable) {
        String prompt = "Please answer in a few words. [request=" + id + "]";
        String expected = StandInText.answer(prompt, Caller.maxTokens());
        return new CallPlan(id, entry, workClass, repeatable, false, workClass != WorkClass.STANDARD, prompt, expected);
    }

    private static CallPlan service(String id) {
        String body = "check [request=" + id + "]";
        String expected = RunOperator.SERVICE + "-1 did POST /run " + body;
        return new CallPlan(id, RunOperator.SERVICE, WorkClass.STANDARD, false, true, false, body, expected);
    }

    private synchronized int index(int size) {
        return random.nextInt(size);
    }

    private synchronized void count(String outcome) {
        outcomes.merge(outcome, 1L, Long::sum);
    }

    private static String label(CallResult result) {
        if (result instanceof CallResult.Refused refused) {
            return "refused " + refused.reason().label() + " " + refused.run().label();
        }
        return result instanceof CallResult.Answered ? "answered" : "lost";
    }
}
