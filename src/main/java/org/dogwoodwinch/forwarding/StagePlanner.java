package org.dogwoodwinch.forwarding;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Plans which engine of a service changes its stage. Not thread-safe.
 *
 * <p>Load: the ratio of prompt length to output length changes within minutes. With a split of the engines that no
 * longer fits, prompts wait at the prefill engines while the decode engines are nearly idle, or vice versa. The
 * planner compares how long prompts wait at the engines of each stage, averaged over two horizons.
 */
public final class StagePlanner {

    private static final int ENGINES_PER_CHANGE = 8;

    /**
     * An engine completes its running requests before it changes; a change that has taken longer than this is no
     * longer awaited.
     */
    private static final long MAX_CHANGE_MILLIS = 15_000;

    private final StagePlanPolicy policy;
    private final PrefillRates prefillRates;
    private final TwoHorizonAverage prefillWait;
    private final TwoHorizonAverage decodeWait;
    private final TwoHorizonAverage decodeBusy;
    private final List<PendingChange> pendingChanges = new ArrayList<>();
    private long nextChangeMillis = Long.MIN_VALUE;
    private int enginesCount;

    /**
     * Creates a planner without samples.
     *
     * @param policy the thresholds, not null
     * @param prefillRates the prefill rates of the engines, not null
     */
    public StagePlanner(StagePlanPolicy policy, PrefillRates prefillRates) {
        this.policy = Objects.requireNonNull(policy, "policy");
        this.prefillRates = Objects.requireNonNull(prefillRates, "prefillRates");
        this.prefillWait = new TwoHorizonAverage(policy);
        this.decodeWait = new TwoHorizonAverage(policy);
        this.decodeBusy = new TwoHorizonAverage(policy);
    }

    /**
     * A planned change of an engine's stage.
     *
     * @param engine the engine before the change, not null
     * @param stage the new stage, not null
     * @param reason the measured averages, for logs, not null
     */
    public record StageChange(Incarnation engine, Stage stage, String reason) {}

    /**
     * Records the current loads and returns a change if one is worthwhile. Must be called regularly, even if no
     * change is wanted.
     *
     * @param ready the engines of the service that accept work, not null
     * @param isRateLimited whether an engine accepts only the few calls of a rate limit that it states, not null
     * @param loadOf the load of an engine, by its id, not null
     * @param isEligible whether the engine with an id may be changed, not null
     * @param nowMillis monotonic milliseconds
     * @return the change to order now, or empty if none is worthwhile
     */
    public Optional<StageChange> planChange(
            List<Incarnation> ready,
            Predicate<Incarnation> isRateLimited,
            Function<String, TargetLoad> loadOf,
            Predicate<String> isEligible,
            long nowMillis) {
        pendingChanges.removeIf(change -> change.isOver(ready, nowMillis));
        List<Incarnation> unlimited = ready.stream()
                .filter(engine -> !isRateLimited.test(engine) && !isChanging(engine))
                .toList();
        List<Incarnation> prefillEngines = withStage(unlimited, Stage.PREFILL);
        List<Incarnation> decodeEngines = withStage(unlimited, Stage.DECODE);
        if (ready.stream().anyMatch(isRateLimited)) {
            Optional<StageChange> replacement = replaceRateLimited(prefillEngines, decodeEngines, loadOf, isEligible);
            if (replacement.isPresent()) {
                return replacement;
            }
        }
        if (prefillEngines.isEmpty() || decodeEngines.isEmpty()) {
            return Optional.empty();
        }
        enginesCount = prefillEngines.size() + decodeEngines.size();
        prefillWait.add(meanWaitMillis(prefillEngines, loadOf), nowMillis);
        decodeWait.add(meanWaitMillis(decodeEngines, loadOf), nowMillis);
        decodeBusy.add(busyRatio(decodeEngines, loadOf), nowMillis);
        if (nowMillis < nextChangeMillis) {
            return Optional.empty();
        }
        long limitedDecodeCount =
                withStage(ready, Stage.DECODE).stream().filter(isRateLimited).count();
        if (needsPrefillEngine(decodeEngines.size(), limitedDecodeCount)) {
            return chooseChange(decodeEngines, Stage.PREFILL, loadOf, isEligible);
        }
        if (needsDecodeEngine(prefillEngines.size())) {
            return chooseChange(prefillEngines, Stage.DECODE, loadOf, isEligible);
        }
        return Optional.empty();
    }

    /**
     * Moves an engine from the other stage to a stage whose engines all state rate limits.
     *
     * <p>Load: all decode engines state limits of a few calls per second, while the prefill engines have capacity.
     * Prefilled prompts have no engine to run on, and callers are refused. No prompts queue at the rate-limited
     * engines, so the measured waits do not show the shortage.
     */
    private Optional<StageChange> replaceRateLimited(
            List<Incarnation> prefillEngines,
            List<Incarnation> decodeEngines,
            Function<String, TargetLoad> loadOf,
            Predicate<String> isEligible) {
        if (decodeEngines.size() + pendingCount(Stage.DECODE) == 0 && prefillEngines.size() > 1) {
            return chooseChange(prefillEngines, Stage.DECODE, loadOf, isEligible);
        }
        if (prefillEngines.size() + pendingCount(Stage.PREFILL) == 0 && decodeEngines.size() > 1) {
            return chooseChange(decodeEngines, Stage.PREFILL, loadOf, isEligible);
        }
        return Optional.empty();
    }

    /**
     * An engine remains listed with its old stage until it has completed its running requests and is available again.
     */
    private boolean isChanging(Incarnation engine) {
        return pendingChanges.stream()
                .anyMatch(pending -> pending.change.engine().id().equals(engine.id()));
    }

    private long pendingCount(Stage stage) {
        return pendingChanges.stream()
                .filter(pending -> pending.change.stage() == stage)
                .count();
    }

    /**
     * Records that a change was ordered. In a large service several engines may change at the same time, at most one
     * of eight: the effect of a single engine does not show there, and a load that shifts within seconds would have
     * changed again before engines could follow one after another.
     *
     * @param change the change that was ordered, not null
     * @param unavailableMillis time for which the engine is unavailable
     * @param nowMillis monotonic milliseconds
     */
    public void recordOrdered(StageChange change, long unavailableMillis, long nowMillis) {
        pendingChanges.add(new PendingChange(change, nowMillis + MAX_CHANGE_MILLIS));
        long intervalMillis = unavailableMillis + policy.dwellMillis();
        nextChangeMillis = nowMillis + intervalMillis / Math.max(1, enginesCount / ENGINES_PER_CHANGE);
    }

    /**
     * Records that an order was rejected: the engine keeps the stage with which it is listed.
     *
     * @param change the change that was ordered, not null
     */
    public void recordRejected(StageChange change) {
        pendingChanges.removeIf(pending -> pending.change.equals(change));
    }

    private boolean needsPrefillEngine(int decodeCount, long limitedDecodeCount) {
        if (decodeCount <= 1 || decodeCount + limitedDecodeCount <= policy.minDecodeCount()) {
            return false;
        }
        double oneLessFactor = decodeCount / (decodeCount - 1.0);
        return prefillWait.min() >= policy.minWaitMillis()
                && prefillWait.min() >= policy.minWaitRatio() * oneLessFactor * decodeWait.max()
                && decodeBusy.max() * oneLessFactor <= policy.maxBusyRatio();
    }

    private boolean needsDecodeEngine(int prefillCount) {
        if (prefillCount <= 1) {
            return false;
        }
        double oneLessFactor = prefillCount / (prefillCount - 1.0);
        boolean decodeWaits = decodeWait.min() >= policy.minWaitMillis()
                && decodeWait.min() >= policy.minWaitRatio() * oneLessFactor * prefillWait.max();
        boolean decodeFull =
                decodeBusy.min() > policy.maxBusyRatio() && prefillWait.max() * oneLessFactor < policy.minWaitMillis();
        return decodeWaits || decodeFull;
    }

    private Optional<StageChange> chooseChange(
            List<Incarnation> candidates,
            Stage stage,
            Function<String, TargetLoad> loadOf,
            Predicate<String> isEligible) {
        return candidates.stream()
                .filter(engine -> isEligible.test(engine.id()))
                .min(Comparator.<Incarnation>comparingInt(
                                engine -> loadOf.apply(engine.id()).callsCount())
                        .thenComparing(Incarnation::id))
                .map(engine -> new StageChange(engine, stage, toString()));
    }

    private double meanWaitMillis(List<Incarnation> engines, Function<String, TargetLoad> loadOf) {
        double sum = 0;
        for (Incarnation engine : engines) {
            sum += loadOf.apply(engine.id()).prefillQueue().totalTokens()
                    / prefillRates.tokensPerMilli(engine.service(), engine.stage());
        }
        return sum / engines.size();
    }

    private static double busyRatio(List<Incarnation> engines, Function<String, TargetLoad> loadOf) {
        double calls = 0;
        double slots = 0;
        for (Incarnation engine : engines) {
            calls += loadOf.apply(engine.id()).callsCount();
            slots += engine.slotsCount();
        }
        return calls / slots;
    }

    private static List<Incarnation> withStage(List<Incarnation> ready, Stage stage) {
        return ready.stream().filter(engine -> engine.stage() == stage).toList();
    }

    @Override
    public String toString() {
        return String.format(
                "prefill wait %.0f/%.0f ms, decode wait %.0f/%.0f ms, decode slot use %.2f/%.2f",
                prefillWait.shortAverage,
                prefillWait.longAverage,
                decodeWait.shortAverage,
                decodeWait.longAverage,
                decodeBusy.shortAverage,
                decodeBusy.longAverage);
    }

    /** A change whose engine is expected to be listed with its new stage. */
    private record PendingChange(StageChange change, long untilMillis) {

        boolean isOver(List<Incarnation> ready, long nowMillis) {
            return nowMillis >= untilMillis
                    || ready.stream()
                            .anyMatch(engine ->
                                    engine.id().equals(change.engine().id()) && engine.stage() == change.stage());
        }
    }

    /** A measured value, exponentially averaged over both horizons. */
    private static final class TwoHorizonAverage {
        private final StagePlanPolicy policy;
        private double shortAverage;
        private double longAverage;
        private long lastSampleMillis = Long.MIN_VALUE;

        TwoHorizonAverage(StagePlanPolicy policy) {
            this.policy = policy;
        }

        void add(double value, long nowMillis) {
            long elapsedMillis = lastSampleMillis == Long.MIN_VALUE ? 0 : nowMillis - lastSampleMillis;
            lastSampleMillis = nowMillis;
            shortAverage += (value - shortAverage) * weight(elapsedMillis, policy.shortHorizonMillis());
            longAverage += (value - longAverage) * weight(elapsedMillis, policy.longHorizonMillis());
        }

        private static double weight(long elapsedMillis, long horizonMillis) {
            return 1 - Math.exp(-elapsedMillis / (double) horizonMillis);
        }

        double min() {
            return Math.min(shortAverage, longAverage);
        }

        double max() {
            return Math.max(shortAverage, longAverage);
        }
    }
}
