package org.dogwoodwinch.queueing;

import java.util.Objects;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.LoadTracker;
import org.dogwoodwinch.forwarding.PrefillRates;
import org.dogwoodwinch.forwarding.Prompt;
import org.dogwoodwinch.forwarding.QueueLevel;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.forwarding.StreamStallCost;
import org.dogwoodwinch.forwarding.TargetDirectory;
import org.dogwoodwinch.forwarding.TargetLoad;
import org.dogwoodwinch.forwarding.TargetQuery;

/**
 * Estimates whether the targets of a service can take a call now, from the calls of all instances as far as they are
 * known here. The cost is linear in the number of targets of the service.
 */
public final class RoomEstimator {

    /**
     * Prefill time that an engine keeps in its queue so that it is busy until the next update of its load arrives: two
     * rounds of 150 ms between instances. An update takes up to half a second in a large fleet, but a queue of that length
     * would make urgent calls late that have an objective of half a second.
     */
    public static final long UPDATE_HORIZON_MILLIS = 300;

    /**
     * Time within which all instances together may use the free capacity. A much longer time leaves engines idle after
     * an update, and a shorter one lets more calls wait at engines than fit there.
     */
    public static final long TURNOVER_MILLIS = 40;

    /** Part of slots and prefill queues that an owner above its share may fill. */
    private static final double ABOVE_SHARE_RATIO = 0.5;

    private final TargetDirectory directory;
    private final LoadTracker loads;
    private final PrefillRates prefillRates;
    private final long horizonMillis;

    /**
     * Creates an estimator.
     *
     * @param directory the targets, not null
     * @param loads the calls of all instances at the targets, not null
     * @param prefillRates the prefill rates of engines, not null
     * @param horizonMillis the prefill time that an engine keeps in its queue
     */
    public RoomEstimator(TargetDirectory directory, LoadTracker loads, PrefillRates prefillRates, long horizonMillis) {
        this.directory = Objects.requireNonNull(directory, "directory");
        this.loads = Objects.requireNonNull(loads, "loads");
        this.prefillRates = Objects.requireNonNull(prefillRates, "prefillRates");
        this.horizonMillis = horizonMillis;
    }

    /**
     * Estimates whether a call of an owner can be taken. While capacity is short, an owner above its share leaves a part of
     * it to others.
     *
     * @param query the call, with the priority at which prefill queues are examined, not null
     * @param unsent what this instance has released but not yet written to a target, not null
     * @param owner the name of the owner, not null
     * @param shares what owners use, where a shortage of capacity is recorded, not null
     * @param nowMillis the time in monotonic milliseconds
     * @return what the targets can take
     */
    public Room estimate(TargetQuery query, UnsentWork unsent, String owner, OwnerShares shares, long nowMillis) {
        Room room = estimate(query, unsent, false);
        if (room.capacity() == Capacity.EXHAUSTED) {
            shares.recordShortage(nowMillis);
        }
        return room.capacity() == Capacity.AVAILABLE && shares.isAboveShare(owner, nowMillis)
                ? estimate(query, unsent, true)
                : room;
    }

    /**
     * Estimates whether a call can be taken.
     *
     * @param query the call, with the priority at which prefill queues are examined, not null
     * @param unsent what this instance has released but not yet written to a target, not null
     * @param isAboveShare whether the owner of the call gets more than its share, so that a part of the capacity is kept
     *     for others
     * @return what the targets can take
     */
    Room estimate(TargetQuery query, UnsentWork unsent, boolean isAboveShare) {
        double usableRatio = isAboveShare ? ABOVE_SHARE_RATIO : 1;
        boolean isModelCall =
                query.prompt().isPresent() && query.service().engine().isPresent();
        boolean isTargetListed = false;
        boolean isPrefillEngineListed = false;
        long freeSlotsCount = 0;
        long ownCallsCount = 0;
        long allCallsCount = 0;
        double remoteTokens = 0;
        double inPlaceTokens = 0;
        for (Incarnation target : directory.readyTargets(query.service().name())) {
            if (!directory.hasCapacity(target)) {
                continue;
            }
            TargetLoad load = loads.totalAt(target.id());
            ownCallsCount += loads.ownAt(target.id()).callsCount();
            allCallsCount += load.callsCount();
            int freeHere = Math.max(0, (int) Math.ceil(target.slotsCount() * usableRatio) - load.callsCount());
            double tokensHere = isModelCall && freeHere > 0 ? freePrefillTokens(target, load, query, usableRatio) : 0;
            if (target.stage() == Stage.PREFILL) {
                isPrefillEngineListed = true;
                remoteTokens += tokensHere;
            } else if (query.isVersionAllowed(target)) {
                isTargetListed = true;
                freeSlotsCount += freeHere;
                inPlaceTokens += tokensHere;
            }
        }
        boolean onlyRemote = isPrefillEngineListed && stallsStreams(query);
        double freeTokens = (onlyRemote ? remoteTokens : remoteTokens + inPlaceTokens) - unsent.inputTokens();
        long freeSlots = freeSlotsCount - unsent.callsCount();
        boolean isAvailable = freeSlots > 0 && (!isModelCall || freeTokens > 0);
        Capacity listed = isAvailable ? Capacity.AVAILABLE : Capacity.EXHAUSTED;
        return new Room(
                isTargetListed ? listed : Capacity.NO_TARGET,
                isModelCall ? freeTokens : freeSlots,
                ownCallsCount,
                allCallsCount);
    }

    /**
     * Returns what fits into the prefill queue of an engine. Less urgent prompts wait there for all more urgent ones that
     * arrive in the meantime, so that a shorter queue of them takes as long.
     */
    private double freePrefillTokens(Incarnation engine, TargetLoad load, TargetQuery query, double usableRatio) {
        double tokensUntilUpdate = horizonMillis
                * usableRatio
                / (1 + query.priority())
                * prefillRates.tokensPerMilli(engine.service(), engine.stage());
        return Math.max(0, tokensUntilUpdate - load.prefillQueue().tokensAheadOf(QueueLevel.onTime(query.priority())));
    }

    /**
     * Returns whether the prompt delays the streams of an engine that also decodes, so that it goes to an engine that only
     * prefills even if others are free.
     */
    private boolean stallsStreams(TargetQuery query) {
        double prefillMillis = query.prompt().map(Prompt::inputTokens).orElse(0)
                / prefillRates.tokensPerMilli(query.service().name(), Stage.DECODE);
        return StreamStallCost.exceedsGap(prefillMillis, query.maxEventGapMillis());
    }
}
