package org.dogwoodwinch.forwarding;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

/**
 * Chooses among model engines by the expected time to the first event. It is estimated from the prefill queue of the
 * engine, the tokens of the prompt that are not in its KV cache, and the KV cache transfer if one engine prefills and
 * another decodes.
 *
 * <p>The affinity engine of a prompt's last shared segment is the engine that ranks first for it by rendezvous
 * hashing, which is the same on all instances. Without it, two instances would prefill a segment that no engine has
 * cached yet on two different engines; the extra cost of prefilling it elsewhere keeps these calls on one engine.
 */
public final class EngineChooser extends DirectoryTargetChooser {

    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MILLI_OF_MEGABIT = 1_000;

    /** The platform states that a KV cache transfer takes twice as long between data centres. */
    private static final double CROSS_DATA_CENTRE_RATIO = 2;

    private final LoadTracker loads;
    private final KvCacheIndex cacheIndex;
    private final PrefillRates prefillRates;
    private final EngineCostModel costModel;
    private final StreamStallCost stallCost;
    private final Function<Incarnation, TargetStanding> standings;
    private final TargetChooser fallback;
    private final String dataCentre;

    /**
     * Creates a chooser.
     *
     * @param directory the targets, not null
     * @param loads the calls in flight at the targets, not null
     * @param cacheIndex the prompt segments in the targets' KV caches, not null
     * @param prefillRates the prefill rates of the targets, not null
     * @param costModel the cost model, not null
     * @param stallCost the cost of prefilling beside streams, not null
     * @param standings returns how an engine differs from the others, evaluated on each use, not null
     * @param fallback the chooser for calls without a prompt, not null
     * @param dataCentre the data centre of this instance, not null
     */
    public EngineChooser(
            TargetDirectory directory,
            LoadTracker loads,
            KvCacheIndex cacheIndex,
            PrefillRates prefillRates,
            EngineCostModel costModel,
            StreamStallCost stallCost,
            Function<Incarnation, TargetStanding> standings,
            TargetChooser fallback,
            String dataCentre) {
        super(directory);
        this.loads = Objects.requireNonNull(loads, "loads");
        this.cacheIndex = Objects.requireNonNull(cacheIndex, "cacheIndex");
        this.prefillRates = Objects.requireNonNull(prefillRates, "prefillRates");
        this.costModel = Objects.requireNonNull(costModel, "costModel");
        this.stallCost = Objects.requireNonNull(stallCost, "stallCost");
        this.standings = Objects.requireNonNull(standings, "standings");
        this.fallback = Objects.requireNonNull(fallback, "fallback");
        this.dataCentre = Objects.requireNonNull(dataCentre, "dataCentre");
    }

    @Override
    public Optional<ForwardingPlan> choose(TargetQuery query) {
        if (query.prompt().isEmpty() || query.service().engine().isEmpty()) {
            return fallback.choose(query);
        }
        Prompt prompt = query.prompt().get();
        List<Incarnation> ready = directory().readyTargets(query.service().name());
        int[] cachedTokens = cachedPrefixTokens(ready, prompt);
        Optional<CachedPrefix> largestPrefix = largestCachedPrefix(ready, cachedTokens);
        String affinityEngineId = affinityEngineId(withoutRateLimit(ready), affinityKey(prompt));
        Candidate best = null;
        for (int i = 0; i < cachedTokens.length; i++) {
            Incarnation engine = ready.get(i);
            boolean prefillOnly = engine.stage() == Stage.PREFILL && !query.separatePrefillAllowed();
            boolean writesEvents = engine.stage() != Stage.PREFILL;
            if (prefillOnly || !isEligible(engine, query) || (writesEvents && !query.isVersionAllowed(engine))) {
                continue;
            }
            Candidate candidate = evaluate(
                    engine,
                    cachedTokens[i],
                    query,
                    prompt,
                    largestPrefix,
                    engine.id().equals(affinityEngineId));
            if (best == null || candidate.cost < best.cost) {
                best = candidate;
            }
        }
        return best == null ? Optional.empty() : toPlan(query, best);
    }

    private Optional<ForwardingPlan> toPlan(TargetQuery query, Candidate best) {
        // Uses the queue wait alone, so that a long prompt is not put behind others because of its own length.
        int level = queueWaitMillis(best.engine, query) > query.firstEventObjectiveMillis()
                ? QueueLevel.late(query.priority())
                : QueueLevel.onTime(query.priority());
        ForwardingPlan.PrefillWork prefillWork =
                new ForwardingPlan.PrefillWork(level, best.prefillTokens, best.cacheSource);
        if (best.engine.stage() != Stage.PREFILL) {
            return Optional.of(new ForwardingPlan(best.engine, Optional.empty(), prefillWork));
        }
        Optional<Incarnation> prefillTarget = Optional.of(best.engine);
        return chooseDecodeTarget(query, best.engine)
                .map(decodeTarget -> new ForwardingPlan(decodeTarget, prefillTarget, prefillWork));
    }

    /**
     * Chooses the engine that decodes after another engine has prefilled the prompt.
     *
     * @param query the call, not null
     * @param prefillTarget the engine that prefills, not null
     * @return the engine with the lowest load, preferring the data centres of the prefill engine and of this instance
     */
    @Override
    public Optional<Incarnation> chooseDecodeTarget(TargetQuery query, Incarnation prefillTarget) {
        Incarnation best = null;
        double lowestCost = Double.MAX_VALUE;
        for (Incarnation engine : directory().readyTargets(query.service().name())) {
            if (engine.stage() == Stage.PREFILL || !isEligible(engine, query) || !query.isVersionAllowed(engine)) {
                continue;
            }
            TargetStanding standing = standings.apply(engine);
            double cost = queueWaitMillis(engine, query) * standing.timeRatio()
                    + loads.totalAt(engine.id()).callsCount() * costModel.runningCallDelayMillis()
                    + standingCostMillis(engine, standing);
            if (!engine.dataCentre().equals(prefillTarget.dataCentre())) {
                cost += costModel.crossDataCentreMillis();
            }
            if (!engine.dataCentre().equals(dataCentre)) {
                cost += costModel.crossDataCentreMillis();
            }
            if (cost < lowestCost) {
                lowestCost = cost;
                best = engine;
            }
        }
        return Optional.ofNullable(best);
    }

    private boolean isEligible(Incarnation engine, TargetQuery query) {
        return !query.triedTargetIds().contains(engine.id()) && directory().hasCapacity(engine);
    }

    /**
     * Leaves out engines that state a rate limit, unless all do. The affinity engine changes on all instances alike,
     * whether or not they have a share of the limit.
     */
    private List<Incarnation> withoutRateLimit(List<Incarnation> ready) {
        List<Incarnation> unlimited = ready.stream()
                .filter(engine -> !directory().isRateLimited(engine))
                .toList();
        return unlimited.isEmpty() ? ready : unlimited;
    }

    private Candidate evaluate(
            Incarnation engine,
            int cachedTokens,
            TargetQuery query,
            Prompt prompt,
            Optional<CachedPrefix> largestPrefix,
            boolean isAffinityEngine) {
        int reusableTokens = cachedTokens;
        double kvFetchMillis = 0;
        Optional<Incarnation> cacheSource = Optional.empty();
        if (largestPrefix.isPresent() && largestPrefix.get().tokens > cachedTokens) {
            double transferMillis = kvFetchMillis(engine, largestPrefix.get(), query, cachedTokens);
            if (transferMillis < (largestPrefix.get().tokens - cachedTokens) / tokensPerMilli(engine)) {
                reusableTokens = largestPrefix.get().tokens;
                kvFetchMillis = transferMillis;
                cacheSource = Optional.of(largestPrefix.get().engine);
            }
        }
        int prefillTokens = prompt.inputTokens() - reusableTokens;
        TargetStanding standing = standings.apply(engine);
        double expected =
                (queueWaitMillis(engine, query) + prefillTokens / tokensPerMilli(engine)) * standing.timeRatio()
                        + kvFetchMillis
                        + decodeStartMillis(engine, query, prompt)
                        + standingCostMillis(engine, standing);
        double crossDataCentreMillis = engine.dataCentre().equals(dataCentre) ? 0 : costModel.crossDataCentreMillis();
        double costToOthersMillis = queueingCostMillis(prefillTokens / tokensPerMilli(engine))
                + streamStallMillis(engine, prefillTokens / tokensPerMilli(engine))
                + (isAffinityEngine ? 0 : affinityMissMillis(engine, prompt, prefillTokens));
        return new Candidate(engine, prefillTokens, cacheSource, expected + crossDataCentreMillis + costToOthersMillis);
    }

    /** Returns the cost to other calls: those that arrive during the prefill wait for half of it on average. */
    private double queueingCostMillis(double prefillMillis) {
        return prefillMillis * prefillMillis / (2 * costModel.interarrivalMillis());
    }

    /**
     * Returns the cost to the streams that an engine decodes.
     *
     * <p>Failure: a decoding engine prefills a prompt in chunks between decode steps, and an event contains several
     * tokens. One long prompt delays the next event of every stream on the engine beyond the gap that its caller
     * accepts, so all of them are late although their first events were on time.
     */
    private double streamStallMillis(Incarnation engine, double prefillMillis) {
        if (engine.stage() == Stage.PREFILL) {
            return 0;
        }
        return stallCost.millisPerStream(engine.service(), prefillMillis)
                * loads.totalAt(engine.id()).streamsCount();
    }

    /**
     * Returns the cost of what a slow or failing engine does besides prefilling: one that decodes needs longer to take a
     * prompt over and between events, and a failed call loses the time in which it could have been served.
     */
    private double standingCostMillis(Incarnation engine, TargetStanding standing) {
        double slownessMillis =
                engine.stage() == Stage.PREFILL ? 0 : (standing.timeRatio() - 1) * costModel.kvHandoffMillis();
        double failureMillis = standing.failureShare() > 0
                ? standing.failureShare() * stallCost.failedCallMillis(engine.service())
                : 0;
        return slownessMillis + failureMillis;
    }

    /** Returns the cost to other calls of caching shared tokens on a second engine. */
    private double affinityMissMillis(Incarnation engine, Prompt prompt, int prefillTokens) {
        int ownTokens = prompt.segments().isEmpty()
                ? prefillTokens
                : prompt.segments().get(prompt.segments().size() - 1).tokens();
        return Math.max(0, prefillTokens - ownTokens) * costModel.affinityMissRatio() / tokensPerMilli(engine);
    }

    private int[] cachedPrefixTokens(List<Incarnation> ready, Prompt prompt) {
        return ready.stream()
                .mapToInt(engine -> cacheIndex.cachedPrefixTokens(engine.id(), prompt))
                .toArray();
    }

    private static Optional<CachedPrefix> largestCachedPrefix(List<Incarnation> ready, int[] cachedTokens) {
        Incarnation cacheSource = null;
        int mostTokens = 0;
        for (int i = 0; i < cachedTokens.length; i++) {
            if (cachedTokens[i] > mostTokens) {
                mostTokens = cachedTokens[i];
                cacheSource = ready.get(i);
            }
        }
        return cacheSource == null ? Optional.empty() : Optional.of(new CachedPrefix(cacheSource, mostTokens));
    }

    private double kvFetchMillis(Incarnation engine, CachedPrefix from, TargetQuery query, int cachedTokens) {
        double transferMillis = kvTransferMillis(query, from.tokens - cachedTokens);
        boolean crossesDataCentres = !engine.dataCentre().equals(from.engine.dataCentre());
        return costModel.kvFetchMillis()
                + (crossesDataCentres ? CROSS_DATA_CENTRE_RATIO * transferMillis : transferMillis);
    }

    private double queueWaitMillis(Incarnation engine, TargetQuery query) {
        return loads.totalAt(engine.id()).prefillQueue().tokensAheadOf(QueueLevel.onTime(query.priority()))
                / tokensPerMilli(engine);
    }

    private double tokensPerMilli(Incarnation engine) {
        return prefillRates.tokensPerMilli(engine.service(), engine.stage());
    }

    private double decodeStartMillis(Incarnation engine, TargetQuery query, Prompt prompt) {
        if (engine.stage() != Stage.PREFILL) {
            return loads.totalAt(engine.id()).callsCount() * costModel.runningCallDelayMillis();
        }
        return costModel.kvHandoffMillis() + kvTransferMillis(query, prompt.inputTokens());
    }

    private static double kvTransferMillis(TargetQuery query, int tokens) {
        EngineTraits traits = query.service().engine().orElseThrow();
        double bits = tokens * (double) traits.kvTokenBytes() * BITS_PER_BYTE;
        return bits / Math.max(1, traits.linkMbitPerSecond() * BITS_PER_MILLI_OF_MEGABIT);
    }

    /** Returns the id of the last segment that is shared with other requests, or of the only segment. */
    private static String affinityKey(Prompt prompt) {
        int count = prompt.segments().size();
        if (count == 0) {
            return "";
        }
        return prompt.segments().get(Math.max(0, count - 2)).id();
    }

    /** Prefers prefill-only engines, because a long prefill on a decode engine delays the streams that it decodes. */
    private static String affinityEngineId(List<Incarnation> ready, String key) {
        String affinityEngineId = "";
        double highest = -1;
        boolean hasPrefillEngines = ready.stream().anyMatch(engine -> engine.stage() == Stage.PREFILL);
        for (Incarnation engine : ready) {
            if (hasPrefillEngines && engine.stage() != Stage.PREFILL) {
                continue;
            }
            double score = RendezvousHash.score(key, engine.id());
            if (score > highest) {
                highest = score;
                affinityEngineId = engine.id();
            }
        }
        return affinityEngineId;
    }

    private record CachedPrefix(Incarnation engine, int tokens) {}

    private record Candidate(Incarnation engine, int prefillTokens, Optional<Incarnation> cacheSource, double cost) {}
}
