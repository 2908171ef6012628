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
import org.dogwoodwinch.target.Usage;
import org.dogwoodwinch.time.TimeSource;

/**
 * Chooses targets by estimated backlog, expected times and believed prefix cache.
 *
 * <p>Thread-safe: a decision holds the {@link FleetView}'s monitor for its few microseconds.
 */
public final class EstimatingRouter implements Router {

    private static final int MOST_PREFIX_BLOCKS = 50_000;
    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final long LEAVING_MARK_MILLIS = 10_000;
    private static final double HIT_PART = 0.5;
    private static final long[] NO_CHAIN = new long[0];

    private final FleetView fleet;
    private final RoutingPolicy policy;
    private final TimeSource time;
    private final CandidateSampler sampler;
    private final PrefixIndex prefixes = new PrefixIndex(MOST_PREFIX_BLOCKS);
    private final RouteScorer scorer;
    private final Map<String, Attempt> attempts = new HashMap<>();
    private final Map<String, Long> lastCacheEvents = new HashMap<>();

    /**
     * Creates a router.
     *
     * @param fleet what is believed of the targets, not null
     * @param policy the constants, not null
     * @param time the clock, not null
     * @param random the source of chance, not null
     * @param ownDataCentre the data centre of this instance, not null
     */
    public EstimatingRouter(
            FleetView fleet,
            RoutingPolicy policy,
            TimeSource time,
            UniformRandomProvider random,
            String ownDataCentre) {
        this.fleet = Objects.requireNonNull(fleet, "fleet");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.time = Objects.requireNonNull(time, "time");
        this.sampler = new CandidateSampler(random);
        this.scorer = new RouteScorer(policy, prefixes, random, Objects.requireNonNull(ownDataCentre, "ownDataCentre"));
    }

    @Override
    public Route route(RouteQuery query) {
        synchronized (fleet) {
            Optional<GroupState> group = fleet.group(query.group());
            if (group.isEmpty()) {
                return new Route.None("no target of group " + query.group() + " is listed", RETRY_AFTER_MILLIS);
            }
            RouteClock clock = RouteClock.read(time);
            Predicate<TargetState> serving = state -> serving(state, query, clock);
            Predicate<TargetState> healthy =
                    serving.and(state -> !policy.useHealth() || state.health().usable(clock.monotonicMillis()));
            RouteOption best = best(group.get(), query, healthy, clock);
            // Where outcomes speak against every target, a held-back one still beats a certain refusal.
            best = best == null ? best(group.get(), query, serving, clock) : best;
            return best == null ? none(query) : best.toRoute();
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
            RouteClock clock = RouteClock.read(time);
            Attempt attempt = newAttempt(state, query, clock);
            attempts.put(attemptId, attempt);
            state.onSent(clock.wallMillis(), attempt.prefillTokens(), attempt.decodeTokens(), attempt.urgent());
            state.health().onSent();
            if (state.role().servesPrefill()) {
                prefixes.store(attempt.chain(), target.name(), clock.monotonicMillis());
            }
        }
    }

    @Override
    public void onFirstToken(String attemptId, long elapsedMillis) {
        synchronized (fleet) {
            Attempt attempt = attempts.get(attemptId);
            if (attempt != null && !attempt.firstTokenSeen()) {
                attempt.markFirstToken();
                attempt.state().onPrefillDone(attempt.prefillTokens());
                attempt.state().health().onFirstToken(elapsedMillis, attempt.expectedMillis(), time.monotonicMillis());
            }
        }
    }

    @Override
    public void onCompleted(String attemptId, Usage usage) {
        synchronized (fleet) {
            Attempt attempt = end(attemptId);
            if (attempt == null) {
                return;
            }
            attempt.state().health().onNeutralEnd();
            if (attempt.state().role().servesDecode()) {
                fleet.group(attempt.query().group())
                        .ifPresent(group -> group.learnOutput(
                                usage.completionTokens(), attempt.query().maxTokens()));
            }
            learnPrefix(attempt, usage);
        }
    }

    @Override
    public void onFailed(String attemptId, TargetFailure failure) {
        synchronized (fleet) {
            Attempt attempt = end(attemptId);
            if (attempt == null) {
                return;
            }
            long nowMillis = time.monotonicMillis();
            if (failure instanceof TargetFailure.Refused refused && refused.leaving()) {
                attempt.state().markLeavingUntil(nowMillis + LEAVING_MARK_MILLIS);
                attempt.state().health().onNeutralEnd();
                return;
            }
            attempt.state().health().onFailure(nowMillis);
            if (!failure.provesNotRun()) {
                prefixes.forget(attempt.chain(), 0, attempt.state().target().name());
            }
        }
    }

    @Override
    public void onCancelled(String attemptId) {
        synchronized (fleet) {
            Attempt attempt = end(attemptId);
            if (attempt != null) {
                attempt.state().health().onNeutralEnd();
            }
        }
    }

    /**
     * Takes a target's cache events; a gap in their numbers makes what is believed of the target doubtful.
     *
     * @param targetName the target, not null
     * @param events later events, in order, not null
     */
    public void onCacheEvents(String targetName, List<CacheEvent> events) {
        synchronized (fleet) {
            long nowMillis = time.monotonicMillis();
            for (CacheEvent event : events) {
                Long last = lastCacheEvents.put(targetName, event.sequence());
                if (last != null && event.sequence() > last + 1) {
                    prefixes.onOutcome(targetName, false);
                }
                prefixes.onEvent(targetName, event.prefixHash(), event.stored(), nowMillis);
            }
        }
    }

    /**
     * Forgets a target's cache, after a crash or a change of its model.
     *
     * @param targetName the target, not null
     */
    public void onCacheLost(String targetName) {
        synchronized (fleet) {
            prefixes.forgetTarget(targetName);
            lastCacheEvents.remove(targetName);
        }
    }

    private boolean serving(TargetState state, RouteQuery query, RouteClock clock) {
        return state.ready()
                && !state.leaving(clock.monotonicMillis())
                && !query.excludedTargets().contains(state.target().name())
                && !(query.alone() && state.servesUrgentWork(clock.wallMillis()));
    }

    private RouteOption best(GroupState group, RouteQuery query, Predicate<TargetState> usable, RouteClock clock) {
        long[] chain = chain(query);
        double outputTokens = query.maxTokens() * group.outputShare();
        RouteOption best = null;
        for (TargetState state : candidates(group.mixed(), EngineRole.MIXED, chain, usable)) {
            best = RouteOption.better(best, scorer.whole(state, query, chain, outputTokens, clock));
        }
        RouteOption prefill = null;
        for (TargetState state : candidates(group.prefill(), EngineRole.PREFILL, chain, usable)) {
            prefill = RouteOption.better(prefill, scorer.prefillLeg(state, query, chain, clock));
        }
        if (prefill == null) {
            return best;
        }
        for (TargetState state : sampler.sample(group.decode(), policy.sampledCandidates(), usable)) {
            best = RouteOption.better(best, scorer.decodeLeg(state, prefill, query, outputTokens, clock));
        }
        return best;
    }

    private List<TargetState> candidates(
            List<TargetState> from, EngineRole role, long[] chain, Predicate<TargetState> usable) {
        List<TargetState> sampled = sampler.sample(from, policy.sampledCandidates(), usable);
        if (chain.length == 0 || from.size() <= policy.sampledCandidates()) {
            return sampled;
        }
        List<TargetState> all = new ArrayList<>(sampled);
        for (String holder : prefixes.holdersOfLongest(chain)) {
            fleet.state(holder)
                    .filter(state -> state.role() == role && !all.contains(state) && usable.test(state))
                    .ifPresent(all::add);
        }
        return all;
    }

    private long[] chain(RouteQuery query) {
        return policy.usePrefixes() ? PromptBlocks.chain(query.prompt(), policy.prefixBlockChars()) : NO_CHAIN;
    }

    private static Route none(RouteQuery query) {
        String detail = query.alone()
                ? "no target of group " + query.group() + " is without urgent work"
                : "no target of group " + query.group() + " takes new work";
        return new Route.None(detail, RETRY_AFTER_MILLIS);
    }

    private Attempt newAttempt(TargetState state, RouteQuery query, RouteClock clock) {
        long[] chain = chain(query);
        double cached = scorer.cachedPart(state, query, chain, clock);
        long prefill = state.role().servesPrefill() ? Math.round(query.promptTokens() * (1 - cached)) : 0;
        double outputShare =
                fleet.group(query.group()).map(GroupState::outputShare).orElse(1.0);
        long decode = state.role().servesDecode() ? Math.round(query.maxTokens() * outputShare) : 0;
        LoadEstimate load = LoadEstimate.of(state, policy, clock.wallMillis());
        double expected = load.slotWaitMillis() + load.prefillWaitMillis() + prefill / load.prefillTokensPerMilli();
        if (state.role() == EngineRole.DECODE) {
            expected += policy.kvMillisPerToken() * query.promptTokens();
        }
        return new Attempt(state, query, chain, cached, prefill, decode, Math.round(expected));
    }

    private Attempt end(String attemptId) {
        Attempt attempt = attempts.remove(attemptId);
        if (attempt != null) {
            long prefillLeft = attempt.firstTokenSeen() ? 0 : attempt.prefillTokens();
            attempt.state().onEnded(prefillLeft, attempt.decodeTokens(), attempt.urgent());
        }
        return attempt;
    }

    private void learnPrefix(Attempt attempt, Usage usage) {
        TargetState state = attempt.state();
        long[] chain = attempt.chain();
        if (!state.role().servesPrefill() || chain.length == 0 || usage.promptTokens() <= 0) {
            return;
        }
        String name = state.target().name();
        double cachedPart = usage.cachedPromptTokens() / (double) usage.promptTokens();
        if (attempt.cachedPart() > 0) {
            prefixes.onOutcome(name, cachedPart >= HIT_PART * attempt.cachedPart());
        }
        prefixes.store(chain, name, time.monotonicMillis());
    }
}
