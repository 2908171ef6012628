package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Objects;
import java.util.function.IntSupplier;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.KvCacheIndex;
import org.dogwoodwinch.forwarding.LoadTracker;
import org.dogwoodwinch.forwarding.PrefillRates;
import org.dogwoodwinch.forwarding.RetryBudget;
import org.dogwoodwinch.forwarding.RetryPolicy;
import org.dogwoodwinch.forwarding.ServiceEntry;
import org.dogwoodwinch.forwarding.TargetChooser;
import org.dogwoodwinch.forwarding.TargetHealth;
import org.dogwoodwinch.time.TimeSource;

/**
 * What all relays of a process share.
 *
 * @param time the clock and timers of the event loop, not null
 * @param callHeaders reads and writes headers, not null
 * @param connections the connections to targets, not null
 * @param chooser chooses targets, not null
 * @param control asks engines, not null
 * @param loads what is under way at targets, not null
 * @param cacheIndex which parts of prompts engines keep, not null
 * @param prefillRates how fast engines read, not null
 * @param retryPolicy decides what follows on a failed send, not null
 * @param budget bounds repeats, not null
 * @param suspicions which calls crash targets, not null
 * @param health which targets could not be reached of late, not null
 * @param statedLimits hears of the limits that targets name, not null
 * @param connectionAborts hears of targets that break off calls, not null
 * @param report counts and logs, not null
 * @param sharingInstancesCount the instances that share a target's connections, asked each time, not null
 */
record RelayContext(
        TimeSource time,
        CallHeaders callHeaders,
        TargetConnectionPool connections,
        TargetChooser chooser,
        EngineControl control,
        LoadTracker loads,
        KvCacheIndex cacheIndex,
        PrefillRates prefillRates,
        RetryPolicy retryPolicy,
        RetryBudget budget,
        Suspicions suspicions,
        TargetHealth health,
        StatedLimits statedLimits,
        BreakOffs connectionAborts,
        RelayReport report,
        IntSupplier sharingInstancesCount) {

    private static final long MIN_DEFERRED_AGE_MILLIS = 100;

    RelayContext {
        Objects.requireNonNull(time, "time");
        Objects.requireNonNull(callHeaders, "callHeaders");
        Objects.requireNonNull(connections, "connections");
        Objects.requireNonNull(chooser, "chooser");
        Objects.requireNonNull(control, "control");
        Objects.requireNonNull(loads, "loads");
        Objects.requireNonNull(cacheIndex, "cacheIndex");
        Objects.requireNonNull(prefillRates, "prefillRates");
        Objects.requireNonNull(retryPolicy, "retryPolicy");
        Objects.requireNonNull(budget, "budget");
        Objects.requireNonNull(suspicions, "suspicions");
        Objects.requireNonNull(health, "health");
        Objects.requireNonNull(statedLimits, "statedLimits");
        Objects.requireNonNull(connectionAborts, "connectionAborts");
        Objects.requireNonNull(report, "report");
        Objects.requireNonNull(sharingInstancesCount, "sharingInstancesCount");
    }

    /**
     * Returns the connections that one target may get from here.
     *
     * <p>Failure: a target resets connections beyond its bound, and the calls on them may have run. Dealt out in equal
     * shares to all instances that may exist, the sum cannot exceed the bound.
     */
    int connectionsPerTarget(ServiceEntry service) {
        return Math.max(1, service.maxConnectionsCount() / sharingInstancesCount.getAsInt());
    }

    /**
     * Goes on with a call once what waits on the callers' sockets was read, where the call is old enough that its caller may
     * have left.
     *
     * <p>Failure: a busy instance comes to an engine's answer a second late, and its caller's leaving lies unread beside
     * it: the call was sent on for nobody. What waits on the sockets is read before a task that is put off. Callers leave
     * after two seconds and more, or where they are in a hurry within half of an objective; a younger call is not delayed.
     */
    void afterCallerReads(long callArrivalMillis, Runnable next) {
        if (time.monotonicMillis() - callArrivalMillis < MIN_DEFERRED_AGE_MILLIS) {
            next.run();
        } else {
            time.schedule(0, next);
        }
    }

    /** A target answered: at this address is the one that was meant, or it is not. */
    void recordResponse(String targetId, boolean misdirected) {
        if (misdirected) {
            report.targetUnreachable(targetId, health.recordUnreachable(targetId), "other_target_answers");
        } else {
            connectionAborts.answered(targetId);
        }
    }

    /** A target opened a connection and broke off the call on it. */
    void recordAbort(String targetId) {
        report.targetUnreachable(targetId, connectionAborts.brokeOff(targetId), "broke_off");
    }

    /**
     * The head of a target's answer came to a call that was sent then. Another target at its address says nothing of it, and
     * that it names no limit counts in a success alone.
     */
    void recordResponseHead(Incarnation target, AnswerFacts facts, long sentMillis) {
        if (!facts.isMisdirected() && (facts.limitPerSecond().isPresent() || facts.isSuccess())) {
            statedLimits.answered(target, facts.limitPerSecond(), sentMillis);
        }
    }

    ByteBuf copy(byte[] bytes) {
        return Unpooled.wrappedBuffer(bytes);
    }
}
