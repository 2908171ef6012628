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
 * <p>Load: the mix of prompt and output shifts within minutes, and the split of engines that was right before leaves
 * prompts waiting at those that read while those that generate have next to nothing to do, or the other way round. The
 * planner compares how long a prompt waits at the engines of either stage, over two horizons.
 */
public final class StagePlanner {

    private static final int ENGINES_OF_ONE_AWAY = 8;

    /** An engine finishes what it runs before it changes; one that has not changed by then is not waited for. */
    private static final long LONGEST_CHANGE_MILLIS = 15_000;

    private final StagePlanPolicy policy;
    private final ReadRates rates;
    private final Pressure reading;
    private final Pressure generating;
    private final Pressure busy;
    private final List<UnderWay> underWay = new ArrayList<>();
    private long notBeforeMillis = Long.MIN_VALUE;
    private int enginesCount;

    /**
     * Creates a planner that has seen nothing.
     *
     * @param policy the thresholds, not null
     * @param rates how fast engines read, not null
     */
    public StagePlanner(StagePlanPolicy policy, ReadRates rates) {
        this.policy = Objects.requireNonNull(policy, "policy");
        this.rates = Objects.requireNonNull(rates, "rates");
        this.reading = new Pressure(policy);
        this.generating = new Pressure(policy);
        this.busy = new Pressure(policy);
    }

    /**
     * An engine that is to change.
     *
     * @param engine the engine as it is, not null
     * @param stage the stage that it is to have, not null
     * @param reason what was seen, for logs, not null
     */
    public record Change(Incarnation engine, Stage stage, String reason) {}

    /**
     * Looks at the loads. Called again and again, whether or not a change is wanted.
     *
     * @param ready the engines of the service that take work, not null
     * @param limited whether an engine takes no more than the few calls that it names, not null
     * @param load what is under way at an engine, by its id, not null
     * @param eligible whether an engine, by its id, may be changed, not null
     * @param nowMillis monotonic milliseconds
     * @return a change that is worth it now
     */
    public Optional<Change> plan(
            List<Incarnation> ready,
            Predicate<Incarnation> limited,
            Function<String, TargetLoad> load,
            Predicate<String> eligible,
            long nowMillis) {
        underWay.removeIf(change -> change.over(ready, nowMillis));
        List<Incarnation> atEase = ready.stream()
                .filter(engine -> !limited.test(engine) && !changes(engine))
                .toList();
        List<Incarnation> readers = ofStage(atEase, Stage.PREFILL);
        List<Incarnation> generators = ofStage(atEase, Stage.DECODE);
        if (ready.stream().anyMatch(limited)) {
            Optional<Change> replaced = replaceLimited(readers, generators, load, eligible);
            if (replaced.isPresent()) {
                return replaced;
            }
        }
        if (readers.isEmpty() || generators.isEmpty()) {
            return Optional.empty();
        }
        enginesCount = readers.size() + generators.size();
        reading.see(waitMillis(readers, load), nowMillis);
        generating.see(waitMillis(generators, load), nowMillis);
        busy.see(busyRatio(generators, load), nowMillis);
        if (nowMillis < notBeforeMillis) {
            return Optional.empty();
        }
        long limitedGenerators =
                ofStage(ready, Stage.DECODE).stream().filter(limited).count();
        if (wantsReader(generators.size(), limitedGenerators)) {
            return change(generators, Stage.PREFILL, load, eligible);
        }
        if (wantsGenerator(readers.size())) {
            return change(readers, Stage.DECODE, load, eligible);
        }
        return Optional.empty();
    }

    /**
     * Gives a stage back what engines that name a limit have taken from it.
     *
     * <p>Load: all engines that generate name limits of a few calls a second, and those that read have room. What is read
     * has nowhere to run, and callers are refused; nothing waits at the limited engines, so the waits show no need.
     */
    private Optional<Change> replaceLimited(
            List<Incarnation> readers,
            List<Incarnation> generators,
            Function<String, TargetLoad> load,
            Predicate<String> eligible) {
        if (generators.size() + coming(Stage.DECODE) == 0 && readers.size() > 1) {
            return change(readers, Stage.DECODE, load, eligible);
        }
        if (readers.size() + coming(Stage.PREFILL) == 0 && generators.size() > 1) {
            return change(generators, Stage.PREFILL, load, eligible);
        }
        return Optional.empty();
    }

    /** It is listed with its old stage until it has finished what it ran and is back. */
    private boolean changes(Incarnation engine) {
        return underWay.stream().anyMatch(each -> each.change.engine().id().equals(engine.id()));
    }

    private long coming(Stage stage) {
        return underWay.stream().filter(each -> each.change.stage() == stage).count();
    }

    /**
     * An order was given. Of many engines several may be away at once, one of eight at the most: what one engine brings
     * does not show there, and a mix that shifts within seconds would be over before one after the other had changed.
     *
     * @param change what was ordered, not null
     * @param awayMillis how long the engine is away
     * @param nowMillis monotonic milliseconds
     */
    public void ordered(Change change, long awayMillis, long nowMillis) {
        underWay.add(new UnderWay(change, nowMillis + LONGEST_CHANGE_MILLIS));
        long pauseMillis = awayMillis + policy.dwellMillis();
        notBeforeMillis = nowMillis + pauseMillis / Math.max(1, enginesCount / ENGINES_OF_ONE_AWAY);
    }

    /**
     * An order was not taken: the engine stands as it is listed.
     *
     * @param change what was ordered, not null
     */
    public void notTaken(Change change) {
        underWay.removeIf(each -> each.change.equals(change));
    }

    private boolean wantsReader(int generatorsCount, long limitedGeneratorsCount) {
        if (generatorsCount <= 1 || generatorsCount + limitedGeneratorsCount <= policy.leastGeneratingCount()) {
            return false;
        }
        double withOneLess = generatorsCount / (generatorsCount - 1.0);
        return reading.least() >= policy.leastWaitMillis()
                && reading.least() >= policy.advantageRatio() * withOneLess * generating.most()
                && busy.most() * withOneLess <= policy.mostBusyRatio();
    }

    private boolean wantsGenerator(int readersCount) {
        if (readersCount <= 1) {
            return false;
        }
        double withOneLess = readersCount / (readersCount - 1.0);
        boolean waits = generating.least() >= policy.leastWaitMillis()
                && generating.least() >= policy.advantageRatio() * withOneLess * reading.most();
        boolean full = busy.least() > policy.mostBusyRatio() && reading.most() * withOneLess < policy.leastWaitMillis();
        return waits || full;
    }

    private Optional<Change> change(
            List<Incarnation> from, Stage stage, Function<String, TargetLoad> load, Predicate<String> eligible) {
        return from.stream()
                .filter(engine -> eligible.test(engine.id()))
                .min(Comparator.<Incarnation>comparingInt(
                                engine -> load.apply(engine.id()).callsCount())
                        .thenComparing(Incarnation::id))
                .map(engine -> new Change(engine, stage, toString()));
    }

    private double waitMillis(List<Incarnation> engines, Function<String, TargetLoad> load) {
        double sum = 0;
        for (Incarnation engine : engines) {
            sum += load.apply(engine.id()).unread().totalTokens()
                    / rates.tokensPerMilli(engine.service(), engine.stage());
        }
        return sum / engines.size();
    }

    private static double busyRatio(List<Incarnation> engines, Function<String, TargetLoad> load) {
        double calls = 0;
        double slots = 0;
        for (Incarnation engine : engines) {
            calls += load.apply(engine.id()).callsCount();
            slots += engine.slotsCount();
        }
        return calls / slots;
    }

    private static List<Incarnation> ofStage(List<Incarnation> ready, Stage stage) {
        return ready.stream().filter(engine -> engine.stage() == stage).toList();
    }

    @Override
    public String toString() {
        return String.format(
                "reading %.0f/%.0f ms, generating %.0f/%.0f ms, busy %.2f/%.2f",
                reading.recent, reading.lasting, generating.recent, generating.lasting, busy.recent, busy.lasting);
    }

    /** An engine that is expected to take up a stage. */
    private record UnderWay(Change change, long untilMillis) {

        boolean over(List<Incarnation> ready, long nowMillis) {
            return nowMillis >= untilMillis
                    || ready.stream()
                            .anyMatch(engine ->
                                    engine.id().equals(change.engine().id()) && engine.stage() == change.stage());
        }
    }

    /** A figure averaged over both horizons. */
    private static final class Pressure {
        private final StagePlanPolicy policy;
        private double recent;
        private double lasting;
        private long seenAtMillis = Long.MIN_VALUE;

        Pressure(StagePlanPolicy policy) {
            this.policy = policy;
        }

        void see(double value, long nowMillis) {
            long sinceMillis = seenAtMillis == Long.MIN_VALUE ? 0 : nowMillis - seenAtMillis;
            seenAtMillis = nowMillis;
            recent += (value - recent) * weight(sinceMillis, policy.shortHorizonMillis());
            lasting += (value - lasting) * weight(sinceMillis, policy.longHorizonMillis());
        }

        private static double weight(long sinceMillis, long horizonMillis) {
            return 1 - Math.exp(-sinceMillis / (double) horizonMillis);
        }

        double least() {
            return Math.min(recent, lasting);
        }

        double most() {
            return Math.max(recent, lasting);
        }
    }
}
