package org.dogwoodwinch.scaling;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.forwarding.PrefillRates;

/**
 * Decides how many engines a service has, where, and of which kind. Not thread-safe.
 *
 * <p>Load: bursts of several seconds return every few seconds, while the mean demand needs only a part of the engines;
 * the platform reclaims the spot engines of a data centre within seconds, and has none for some time. Between bursts
 * the planner keeps the engines that the last bursts needed, and it limits the spot engines so that the remaining
 * engines still meet the demand after the reclaim of the data centre that has most of them.
 */
public final class ScalePlanner implements ScaleStrategy {

    /**
     * Share of the engines that are busy at the recent peak. Prompts that arrive at random at engines of which three in
     * five are busy seldom wait behind another one.
     */
    private static final double TARGET_UTILISATION = 0.6;

    /** Share of the remaining engines that are busy at the recent peak after a reclaim, until the others are replaced. */
    private static final double RECLAIM_UTILISATION = 0.8;

    /** Two prefill engines and three decode engines, so that the failure of one does not interrupt the service. */
    private static final int MIN_ENGINES = 5;

    /** Number of engines of which at most one is released at a time: the KV caches of released engines are lost. */
    private static final int ENGINES_PER_RELEASE = 5;

    /**
     * Number of engines of which more than one has to change before a change is ordered: a smaller one is within the
     * random variation of the demand.
     */
    private static final int ENGINES_PER_CHANGE = 16;

    /**
     * Number of engines of which more than one has to be superfluous before engines are released. With the bound of
     * other changes, random peaks of a constant load cause scale-outs and scale-ins by turns.
     */
    private static final int ENGINES_PER_SCALE_IN = 8;

    /** Several planning intervals: with engines that boot at once, a shorter time would end between two observations. */
    private static final long MIN_SETTLE_MILLIS = 2_000;

    private final PrefillRates prefillRates;
    private EngineShortage shortage = new EngineShortage();
    private DemandHistory history = new DemandHistory(0);
    private RecentPeak desiredPeak = new RecentPeak();
    private int total;
    private long nextReleaseMillis;
    private int lastMissingCount;

    /**
     * Creates a planner that has observed nothing.
     *
     * @param prefillRates the prefill rates of the engines, not null
     */
    public ScalePlanner(PrefillRates prefillRates) {
        this.prefillRates = Objects.requireNonNull(prefillRates, "prefillRates");
    }

    /**
     * {@inheritDoc}
     *
     * <p>Without ready engines there is no plan: after a restart they are not known yet. After an interruption of more
     * than two boot times, the planner starts anew.
     */
    @Override
    public Optional<ScalePlan> plan(ScaleObservation observed, ScalingLimits limits, long nowMillis) {
        List<String> dataCentres = PoolCounts.dataCentres(observed, limits);
        if (observed.ready().isEmpty() || dataCentres.isEmpty() || limits.maxCount() == 0) {
            return Optional.empty();
        }
        PoolCounts planned = PoolCounts.planned(dataCentres, observed);
        PoolCounts ready = planned.min(PoolCounts.ready(dataCentres, observed));
        if (total == 0 || nowMillis - history.lastMillis() > settleMillis(limits)) {
            history = new DemandHistory(nowMillis);
            desiredPeak = new RecentPeak();
            shortage = new EngineShortage();
            lastMissingCount = 0;
            total = presentTotal(planned, ready);
        }
        history.record(
                EngineDemand.total(observed.ready(), observed.loadOf(), prefillRates), limits.bootMillis(), nowMillis);
        int desired = desiredTotal(planned.size(), limits);
        desiredPeak.add(desired, settleMillis(limits), nowMillis);

        PoolCounts missing = missing(planned, ready, observed, limits, nowMillis);
        if (missing.total() > 0 && lastMissingCount == 0) {
            // Missing engines mostly return within this time. Until then, those that are there may have to replace
            // them.
            nextReleaseMillis = Math.max(nextReleaseMillis, nowMillis + 2 * settleMillis(limits));
        }
        lastMissingCount = missing.total();
        boolean isDemandKnown = history.isSufficient(settleMillis(limits), nowMillis);
        if (isDemandKnown) {
            changeTotal(desired, ready.total(), limits, nowMillis);
        } else if (nowMillis - history.startMillis() < limits.bootMillis()) {
            // The first observations after a start may be incomplete. Engines that are ordered now are ready later.
            total = Math.max(total, ready.onDemandTotal());
        }
        total = withinLimits(total, planned.size(), limits);
        int spotCount = spotCount(planned, isDemandKnown ? desired : total, isDemandKnown, limits);
        int neededCount = isDemandKnown ? Math.min(total, (int) desiredPeak.value()) : total;
        int missingCount = Math.min(spotCount, missing.spotTotal()) + missing.onDemandTotal();
        int substitutesCount = Math.min(missingCount, Math.max(0, neededCount + missingCount - total));
        PoolCounts target =
                EnginePlacement.place(planned, missing, total - spotCount + substitutesCount, spotCount, limits);
        PoolCounts next = EnginePlacement.approach(planned, ready, target, total, limits);
        return isWorthOrdering(planned, next, limits)
                ? Optional.of(next.toPlan(observed, isDemandKnown))
                : Optional.empty();
    }

    /**
     * Returns how many engines the orders of a predecessor were meant for. While it replaced on-demand engines by spot
     * engines, it had ordered both; while spot engines are missing, fewer engines than it wanted are ready.
     */
    private static int presentTotal(PoolCounts planned, PoolCounts ready) {
        int withoutReplaced = Math.max(planned.onDemandTotal(), planned.spotTotal() + planned.size());
        return Math.min(planned.total(), Math.max(ready.total(), withoutReplaced));
    }

    private int desiredTotal(int dataCentresCount, ScalingLimits limits) {
        int forDemand = (int) Math.ceil(history.peak() / TARGET_UTILISATION);
        return withinLimits(Math.max(MIN_ENGINES, forDemand), dataCentresCount, limits);
    }

    private void changeTotal(int desired, int readyCount, ScalingLimits limits, long nowMillis) {
        int lastingDesired = (int) desiredPeak.value();
        if (isWorthChanging(desired - total, total, ENGINES_PER_CHANGE)) {
            total = desired;
        } else if (lastingDesired < total
                && isWorthChanging(Math.max(total, readyCount) - lastingDesired, total, ENGINES_PER_SCALE_IN)
                && nowMillis >= nextReleaseMillis) {
            total = Math.max(lastingDesired, total - Math.max(1, total / ENGINES_PER_RELEASE));
            nextReleaseMillis = nowMillis + settleMillis(limits);
        }
    }

    /**
     * Returns the number of spot engines. During a scale-in, spot engines that are already there stay, but none are
     * added that the desired number of engines does not need.
     */
    private int spotCount(PoolCounts planned, int desired, boolean isDemandKnown, ScalingLimits limits) {
        if (limits.spotPriceRatio().orElse(1) >= 1) {
            return 0;
        }
        int size = planned.size();
        if (!isDemandKnown) {
            // The reclaim of all spot engines then leaves half of the engines.
            int half = Math.min(total - size, total / 2);
            return Math.max(0, Math.min(Math.max(planned.spotTotal(), half), size * (limits.maxCount() - 1)));
        }
        int min = maxSpotCount(Math.min(desired, total), size, limits);
        int max = maxSpotCount(total, size, limits);
        return Math.max(min, Math.min(planned.spotTotal(), max));
    }

    /** Returns how many of a number of engines may be spot engines, so that the worst reclaim leaves what is needed. */
    private int maxSpotCount(int enginesCount, int dataCentresCount, ScalingLimits limits) {
        int neededAfterReclaim = (int) Math.ceil(history.peak() / RECLAIM_UTILISATION);
        int maxInDataCentre = Math.min(limits.maxCount() - 1, enginesCount - neededAfterReclaim);
        return Math.max(0, Math.min(enginesCount - dataCentresCount, dataCentresCount * maxInDataCentre));
    }

    private PoolCounts missing(
            PoolCounts planned, PoolCounts ready, ScaleObservation observed, ScalingLimits limits, long nowMillis) {
        PoolCounts missing = planned.min(planned);
        for (int i = 0; i < planned.size(); i++) {
            for (EngineKind kind : EngineKind.values()) {
                EnginePool pool = new EnginePool(planned.dataCentre(i), kind);
                Long unavailableUntilMillis = observed.unavailableUntilMillis().get(pool);
                missing.of(kind)[i] = shortage.record(
                        pool,
                        planned.of(kind)[i],
                        ready.of(kind)[i],
                        unavailableUntilMillis != null && nowMillis < unavailableUntilMillis,
                        settleMillis(limits),
                        nowMillis);
            }
        }
        return missing;
    }

    private boolean isWorthOrdering(PoolCounts planned, PoolCounts next, ScalingLimits limits) {
        int change = Math.max(next.increaseOver(planned), planned.increaseOver(next));
        return isWorthChanging(change, Math.min(total, planned.total()), ENGINES_PER_CHANGE)
                || (change > 0 && !isWithinLimits(planned, limits));
    }

    private static boolean isWithinLimits(PoolCounts planned, ScalingLimits limits) {
        for (int i = 0; i < planned.size(); i++) {
            if (planned.at(i) < limits.minCount() || planned.at(i) > limits.maxCount()) {
                return false;
            }
        }
        return true;
    }

    private static boolean isWorthChanging(int change, int enginesCount, int enginesPerChange) {
        return change > 0 && change * enginesPerChange > enginesCount;
    }

    private static int withinLimits(int enginesCount, int dataCentresCount, ScalingLimits limits) {
        int min = dataCentresCount * Math.max(1, limits.minCount());
        return Math.max(min, Math.min(dataCentresCount * limits.maxCount(), enginesCount));
    }

    /** The effect of a change of the number of engines shows when those ordered then have booted and taken load. */
    private static long settleMillis(ScalingLimits limits) {
        return Math.max(MIN_SETTLE_MILLIS, 2 * limits.bootMillis());
    }
}
