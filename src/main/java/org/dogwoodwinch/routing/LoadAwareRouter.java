package org.dogwoodwinch.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.dogwoodwinch.target.CacheEvent;
import org.dogwoodwinch.target.EngineRole;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.TokenUsage;
import org.dogwoodwinch.time.TimeSource;

/**
 * Chooses targets by estimated load, expected latency and the prompt prefixes that are probably in their caches.
 *
 * <p>Thread-safe: a decision holds the monitor of the {@link FleetView} for its few microseconds.
 */
public final class LoadAwareRouter implements Router {

    private static final int MAX_PREFIX_BLOCKS = 50_000;
    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final long DRAINING_MARK_MILLIS = 10_000;
    private static final double MIN_HIT_FRACTION = 0.5;
    private static final long[] NO_BLOCK_HASHES = new long[0];

    private final FleetView fleet;
    private final RoutingPolicy policy;
    private final TimeSource time;
    private final CandidateSampler sampler;
    private final PrefixIndex prefixIndex = new PrefixIndex(MAX_PREFIX_BLOCKS);
    private final RouteScorer scorer;
    private final Map<String, Attempt> attempts = new HashMap<>();
    private final Map<String, Long> lastEventSequences = new HashMap<>();

    /**
     * Creates a router.
     *
     * @param fleet the known state of all targets, not null
     * @param policy the routing parameters, not null
     * @param time the clock, not null
     * @param random the source of random numbers for sampling and jitter, not null
     * @param ownDataCentre the data centre of this instance, not null
     */
    public LoadAwareRouter(
            FleetView fleet,
            RoutingPolicy policy,
            TimeSource time,
            UniformRandomProvider random,
            String ownDataCentre) {
        this.fleet = Objects.requireNonNull(fleet, "fleet");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.time = Objects.requireNonNull(time, "time");
        this.sampler = new CandidateSampler(random);
        this.scorer =
                new RouteScorer(policy, prefixIndex, random, Objects.requireNonNull(ownDataCentre, "ownDataCentre"));
    }

    @Override
    public Route route(RouteQuery query) {
        synchronized (fleet) {
            Optional<GroupState> group = fleet.group(query.group());
            if (group.isEmpty()) {
                return new Route.NoTarget(
                        "the instance list has no target of group " + query.group(), RETRY_AFTER_MILLIS);
            }
            DecisionTime now = DecisionTime.now(time);
            Predicate<TargetState> eligible = state -> canServe(state, query, now);
            Predicate<TargetState> healthy =
                    eligible.and(state -> !policy.useHealth() || state.health().isUsable(now.monotonicMillis()));
            RouteOption best = bestOption(group.get(), query, healthy, now);
            // If every target is in back-off after failures, using one of them is still better than refusing the
            // request.
            best = best == null ? bestOption(group.get(), query, eligible, now) : best;
            return best == null ? noRoute(query) : best.toRoute();
        }
    }

    @Override
    public void onSent(String attemptId, Target target, RouteQuery query) {
        synchronized (fleet) {
            Optional<TargetState> known = fleet.state(target.name());
            if (known.isEmpty()) {
                return;
            }
            TargetState state = known.get();
            DecisionTime now = DecisionTime.now(time);
            Attempt attempt = newAttempt(state, query, now);
            attempts.put(attemptId, attempt);
            state.onSent(now.wallMillis(), attempt.prefillTokens(), attempt.decodeTokens(), attempt.isUrgent());
            state.health().onSent();
            if (state.role().servesPrefill()) {
                prefixIndex.addBlocks(attempt.blockHashes(), target.name(), now.monotonicMillis());
            }
        }
    }

    @Override
    public void onFirstToken(String attemptId, long elapsedMillis) {
        synchronized (fleet) {
            Attempt attempt = attempts.get(attemptId);
            if (attempt != null && !attempt.firstTokenReceived()) {
                attempt.markFirstTokenReceived();
                attempt.targetState().onPrefillDone(attempt.prefillTokens());
                attempt.targetState()
                        .health()
                        .onFirstToken(elapsedMillis, attempt.expectedFirstTokenMillis(), time.monotonicMillis());
            }
        }
    }

    @Override
    public void onCompleted(String attemptId, TokenUsage usage) {
        synchronized (fleet) {
            Attempt attempt = removeAttempt(attemptId);
            if (attempt == null) {
                return;
            }
            attempt.targetState().health().onAttemptEnded();
            if (attempt.targetState().role().servesDecode()) {
                fleet.group(attempt.query().group())
                        .ifPresent(group -> group.updateOutputFraction(
                                usage.completionTokens(), attempt.query().maxTokens()));
            }
            recordCacheOutcome(attempt, usage);
        }
    }

    @Override
    public void onFailed(String attemptId, TargetFailure failure) {
        synchronized (fleet) {
            Attempt attempt = removeAttempt(attemptId);
            if (attempt == null) {
                return;
            }
            long nowMillis = time.monotonicMillis();
            if (failure instanceof TargetFailure.Refused refused && refused.leaving()) {
                attempt.targetState().markDrainingUntil(nowMillis + DRAINING_MARK_MILLIS);
                attempt.targetState().health().onAttemptEnded();
                return;
            }
            attempt.targetState().health().onFailure(nowMillis);
            if (!failure.provesNotRun()) {
                prefixIndex.removeBlocks(
                        attempt.blockHashes(), 0, attempt.targetState().target().name());
            }
        }
    }

    @Override
    public void onCancelled(String attemptId) {
        synchronized (fleet) {
            Attempt attempt = removeAttempt(attemptId);
            if (attempt != null) {
                attempt.targetState().health().onAttemptEnded();
            }
        }
    }

    /**
     * Applies prefix-cache events of a target. A gap in their sequence numbers counts as a cache miss, as an eviction
     * may have been among the missing events.
     *
     * @param targetName the target, not null
     * @param events the events since the last call, in order, not null
     */
    public void onCacheEvents(String targetName, List<CacheEvent> events) {
        synchronized (fleet) {
            long nowMillis = time.monotonicMillis();
            for (CacheEvent event : events) {
                Long lastSequence = lastEventSequences.put(targetName, event.sequence());
                if (lastSequence != null && event.sequence() > lastSequence + 1) {
                    prefixIndex.adjustRetention(targetName, false);
                }
                prefixIndex.onCacheEvent(targetName, event.prefixHash(), event.stored(), nowMillis);
            }
        }
    }

    /**
     * Discards the recorded cache content of a target, after a crash or a change of its model.
     *
     * @param targetName the target, not null
     */
    public void onCacheLost(String targetName) {
        synchronized (fleet) {
            prefixIndex.removeTarget(targetName);
            lastEventSequences.remove(targetName);
        }
    }

    private boolean canServe(TargetState state, RouteQuery query, DecisionTime now) {
        return state.isReady()
                && !state.isDraining(now.monotonicMillis())
                && !query.excludedTargets().contains(state.target().name())
                && !(query.crashSuspect() && state.hasUrgentRequests(now.wallMillis()));
    }

    private RouteOption bestOption(
            GroupState group, RouteQuery query, Predicate<TargetState> filter, DecisionTime now) {
        long[] blockHashes = blockHashes(query);
        double outputTokens = query.maxTokens() * group.outputFraction();
        RouteOption best = null;
        for (TargetState state : candidates(group.mixed(), EngineRole.MIXED, blockHashes, filter)) {
            best = RouteOption.better(best, scorer.scoreSingleTarget(state, query, blockHashes, outputTokens, now));
        }
        RouteOption prefill = null;
        for (TargetState state : candidates(group.prefill(), EngineRole.PREFILL, blockHashes, filter)) {
            prefill = RouteOption.better(prefill, scorer.scorePrefill(state, query, blockHashes, now));
        }
        if (prefill == null) {
            return best;
        }
        for (TargetState state : sampler.sample(group.decode(), policy.sampledCandidates(), filter)) {
            best = RouteOption.better(best, scorer.scoreDecode(state, prefill, query, outputTokens, now));
        }
        return best;
    }

    private List<TargetState> candidates(
            List<TargetState> targets, EngineRole role, long[] blockHashes, Predicate<TargetState> filter) {
        List<TargetState> sampled = sampler.sample(targets, policy.sampledCandidates(), filter);
        if (blockHashes.length == 0 || targets.size() <= policy.sampledCandidates()) {
            return sampled;
        }
        List<TargetState> candidates = new ArrayList<>(sampled);
        for (String holder : prefixIndex.holdersOfLongestPrefix(blockHashes)) {
            fleet.state(holder)
                    .filter(state -> state.role() == role && !candidates.contains(state) && filter.test(state))
                    .ifPresent(candidates::add);
        }
        return candidates;
    }

    private long[] blockHashes(RouteQuery query) {
        return policy.usePrefixes()
                ? PromptBlocks.hashChain(query.prompt(), policy.prefixBlockChars())
                : NO_BLOCK_HASHES;
    }

    private static Route noRoute(RouteQuery query) {
        String detail = query.crashSuspect()
                ? "no target of group " + query.group() + " without urgent requests accepts new requests"
                : "no target of group " + query.group() + " accepts new requests";
        return new Route.NoTarget(detail, RETRY_AFTER_MILLIS);
    }

    private Attempt newAttempt(TargetState state, RouteQuery query, DecisionTime now) {
        long[] blockHashes = blockHashes(query);
        double cachedFraction = scorer.cachedFraction(state, query, blockHashes, now);
        long prefillTokens = state.role().servesPrefill() ? Math.round(query.promptTokens() * (1 - cachedFraction)) : 0;
        double outputFraction =
                fleet.group(query.group()).map(GroupState::outputFraction).orElse(1.0);
        long decodeTokens = state.role().servesDecode() ? Math.round(query.maxTokens() * outputFraction) : 0;
        LoadEstimate load = LoadEstimate.of(state, policy, now.wallMillis());
        double expectedFirstTokenMillis =
                load.batchWaitMillis() + load.prefillWaitMillis() + prefillTokens / load.prefillTokensPerMilli();
        if (state.role() == EngineRole.DECODE) {
            expectedFirstTokenMillis += policy.kvTransferMillisPerToken() * query.promptTokens();
        }
        return new Attempt(
                state,
                query,
                blockHashes,
                cachedFraction,
                prefillTokens,
                decodeTokens,
                Math.round(expectedFirstTokenMillis));
    }

    private Attempt removeAttempt(String attemptId) {
        Attempt attempt = attempts.remove(attemptId);
        if (attempt != null) {
            long remainingPrefillTokens = attempt.firstTokenReceived() ? 0 : attempt.prefillTokens();
            attempt.targetState().onEnded(remainingPrefillTokens, attempt.decodeTokens(), attempt.isUrgent());
        }
        return attempt;
    }

    private void recordCacheOutcome(Attempt attempt, TokenUsage usage) {
        TargetState state = attempt.targetState();
        long[] blockHashes = attempt.blockHashes();
        if (!state.role().servesPrefill() || blockHashes.length == 0 || usage.promptTokens() <= 0) {
            return;
        }
        String name = state.target().name();
        double cachedFraction = usage.cachedPromptTokens() / (double) usage.promptTokens();
        if (attempt.cachedFraction() > 0) {
            prefixIndex.adjustRetention(name, cachedFraction >= MIN_HIT_FRACTION * attempt.cachedFraction());
        }
        prefixIndex.addBlocks(blockHashes, name, time.monotonicMillis());
    }
}
