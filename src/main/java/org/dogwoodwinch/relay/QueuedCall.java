package org.dogwoodwinch.relay;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongConsumer;
import org.dogwoodwinch.forwarding.Prompt;
import org.dogwoodwinch.forwarding.PromptSegment;
import org.dogwoodwinch.forwarding.ServiceRoute;
import org.dogwoodwinch.forwarding.TargetQuery;
import org.dogwoodwinch.queueing.ServiceTimes;
import org.dogwoodwinch.queueing.WaitingCall;

/** The place of one call in the queue of its service, from its arrival to its end. Confined to one event loop. */
final class QueuedCall {

    private enum State {
        NEW,
        WAITING,
        RELEASED,
        SENT,
        CLOSED
    }

    private final Optional<ServiceCallQueue> queue;
    private final RoutedCall routed;
    private final long deadlineMillis;
    private final long fingerprint;
    private State state = State.NEW;
    private Optional<WaitingCall> waiting = Optional.empty();
    private Runnable onReleased = () -> {};
    private LongConsumer onRefused = _retryAfterMillis -> {};
    private long releasedMillis;
    private boolean isFirstEventRecorded;

    /**
     * Creates a call that has not asked for capacity.
     *
     * @param queue the queue of its service; empty if the call is not queued but released at once, not null
     * @param routed the call, not null
     * @param deadlineMillis when the caller must have an answer, in monotonic milliseconds
     * @param fingerprint identifies equal calls of one caller
     */
    QueuedCall(Optional<ServiceCallQueue> queue, RoutedCall routed, long deadlineMillis, long fingerprint) {
        this.queue = Objects.requireNonNull(queue, "queue");
        this.routed = Objects.requireNonNull(routed, "routed");
        this.deadlineMillis = deadlineMillis;
        this.fingerprint = fingerprint;
    }

    /**
     * Continues the call at once if its service has capacity, and otherwise when its turn comes.
     *
     * @param released sends the call, not null
     * @param refused refuses the call because it cannot be served in time, and receives the time after which its caller
     *     should return, not null
     */
    void awaitCapacity(Runnable released, LongConsumer refused) {
        onReleased = Objects.requireNonNull(released, "released");
        onRefused = Objects.requireNonNull(refused, "refused");
        if (queue.isEmpty()) {
            released.run();
        } else {
            queue.get().enter(this);
        }
    }

    /** Records that the call, or its prompt, is written to a target and counts in the target's load from now on. */
    void recordSent() {
        if (state == State.RELEASED) {
            state = State.SENT;
            queue.ifPresent(known -> known.recordSent(this));
        }
    }

    /** Records the first event of the answer. */
    void recordFirstEvent() {
        if (state == State.SENT && !isFirstEventRecorded) {
            isFirstEventRecorded = true;
            queue.ifPresent(known -> known.times().recordFirstEvent(route().name(), known.millisSince(releasedMillis)));
        }
    }

    /** Records the end of a complete answer. */
    void recordCompletion() {
        recordFirstEvent();
        if (state == State.SENT) {
            queue.ifPresent(known -> known.times().recordCompletion(route().name(), known.millisSince(releasedMillis)));
        }
    }

    /** Leaves the queue, because the call has ended in any way. */
    void close() {
        State last = state;
        state = State.CLOSED;
        if (last == State.WAITING) {
            queue.ifPresent(known -> known.remove(this));
        } else if (last == State.RELEASED) {
            queue.ifPresent(known -> known.recordSent(this));
        }
        queue.ifPresent(ServiceCallQueue::scheduleRelease);
    }

    void setWaiting(WaitingCall call) {
        state = State.WAITING;
        waiting = Optional.of(call);
    }

    void release(long nowMillis) {
        state = State.RELEASED;
        releasedMillis = nowMillis;
        onReleased.run();
    }

    void refuse(long retryAfterMillis) {
        state = State.CLOSED;
        onRefused.accept(retryAfterMillis);
    }

    /** Returns the call as it is queued. */
    WaitingCall toWaiting(long id, ServiceTimes times, boolean isReturning) {
        // Without a bound, times of a slow moment would have all calls refused, and no faster ones would be observed.
        long halfMillis = (deadlineMillis - routed.call().arrivalMillis()) / 2;
        long latestMillis = deadlineMillis - Math.min(halfMillis, times.completionMillis(route().name()));
        long objectiveMillis = route().latencyObjectiveMillis();
        long onTimeMillis = objectiveMillis <= 0
                ? latestMillis
                : routed.call().arrivalMillis()
                        + objectiveMillis
                        - Math.min(objectiveMillis / 2, times.firstEventMillis(route().name()));
        return new WaitingCall(
                id, ownerName(), priority(), work(), Math.min(onTimeMillis, latestMillis), latestMillis, isReturning);
    }

    /** Returns the query with which targets are examined for capacity. */
    TargetQuery query(int priority) {
        return new TargetQuery(
                routed.service(),
                routed.attributes().prompt(),
                priority,
                Long.MAX_VALUE,
                route().maxEventGapMillis(),
                Set.of(),
                true);
    }

    WaitingCall waiting() {
        return waiting.orElseThrow();
    }

    long fingerprint() {
        return fingerprint;
    }

    String requestId() {
        return routed.attributes().requestId().orElse("");
    }

    ServiceRoute route() {
        return routed.route();
    }

    String ownerName() {
        return routed.owner().orElseThrow().name();
    }

    int priority() {
        return routed.owner().orElseThrow().priorityOn(route());
    }

    long arrivalMillis() {
        return routed.call().arrivalMillis();
    }

    /** Returns the work that is charged to the owner. */
    long work() {
        return isModelCall()
                ? routed.attributes()
                        .prompt()
                        .map(prompt -> WaitingCall.workOf(prompt.inputTokens(), prompt.maxOutputTokens()))
                        .orElse(1L)
                : 1;
    }

    /**
     * Returns what the call is expected to take of the free prefill tokens, or of the free slots of a plain service. The
     * shared segments of a prompt are usually in a KV cache.
     */
    long occupiedRoom() {
        return isModelCall()
                ? routed.attributes().prompt().map(QueuedCall::ownTokens).orElse(1L)
                : 1;
    }

    boolean isModelCall() {
        return routed.service().engine().isPresent()
                && routed.attributes().prompt().isPresent();
    }

    private static long ownTokens(Prompt prompt) {
        int count = prompt.segments().size();
        PromptSegment last = count == 0 ? null : prompt.segments().get(count - 1);
        return last == null ? prompt.inputTokens() : Math.min(prompt.inputTokens(), last.tokens());
    }
}
