package org.dogwoodwinch.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.LongConsumer;
import org.dogwoodwinch.catalogue.Catalogue;
import org.dogwoodwinch.catalogue.CatalogueView;
import org.dogwoodwinch.catalogue.Limits;
import org.dogwoodwinch.catalogue.Owner;
import org.dogwoodwinch.request.CallerRequest;
import org.dogwoodwinch.time.TimeSource;

/**
 * Enforces the limits of owners and entries within this instance's share of them. Thread-safe: all methods hold the
 * monitor of the {@link LimitShareExchange}.
 */
final class OwnerLimits {

    private final CatalogueView catalogue;
    private final LimitShareExchange limitShares;
    private final TimeSource time;
    private final Map<String, LimitScope> scopes = new HashMap<>();

    OwnerLimits(CatalogueView catalogue, LimitShareExchange limitShares, TimeSource time) {
        this.catalogue = Objects.requireNonNull(catalogue, "catalogue");
        this.limitShares = Objects.requireNonNull(limitShares, "limitShares");
        this.time = Objects.requireNonNull(time, "time");
        catalogue.addListener(this::applyCatalogue);
        catalogue.current().ifPresent(this::applyCatalogue);
    }

    /**
     * Acquires a concurrency unit and the estimated tokens under the limits of both the owner and the entry, or returns
     * the limit that prevents it.
     */
    Acquired tryAcquire(CallerRequest request, long estimatedTokens) {
        synchronized (limitShares) {
            long nowMillis = time.monotonicMillis();
            LimitScope ownerScope = ownerScope(request);
            LimitScope entryScope = entryScope(request);
            Optional<LimitScope.LimitReached> limitReached = ownerScope
                    .checkTokenRate(estimatedTokens, nowMillis)
                    .or(() -> entryScope.checkTokenRate(estimatedTokens, nowMillis));
            if (limitReached.isPresent()) {
                return new Acquired.Failure(limitReached.get());
            }
            return tryAcquireConcurrency(request.deadlineMillis(), ownerScope, entryScope)
                    .<Acquired>map(units -> takeTokens(units, ownerScope, entryScope, estimatedTokens, nowMillis))
                    .orElseGet(() -> new Acquired.Failure(ownerScope.concurrencyLimitReached()));
        }
    }

    /** Sets the demand to publish to the peers from the requests that were blocked since the last call. */
    void reportDemand() {
        synchronized (limitShares) {
            scopes.values().forEach(LimitScope::reportDemand);
        }
    }

    private Optional<LimitAllocation.AcquiredUnit> tryAcquireConcurrency(
            long untilMillis, LimitScope ownerScope, LimitScope entryScope) {
        long nowMillis = time.monotonicMillis();
        Optional<LimitAllocation.AcquiredUnit> ownerUnit = ownerScope.tryAcquireConcurrency(untilMillis, nowMillis);
        if (ownerUnit.isEmpty()) {
            return Optional.empty();
        }
        Optional<LimitAllocation.AcquiredUnit> entryUnit = entryScope.tryAcquireConcurrency(untilMillis, nowMillis);
        if (entryUnit.isEmpty()) {
            ownerUnit.get().release();
            return Optional.empty();
        }
        return Optional.of(() -> {
            ownerUnit.get().release();
            entryUnit.get().release();
        });
    }

    private Acquired takeTokens(
            LimitAllocation.AcquiredUnit units,
            LimitScope ownerScope,
            LimitScope entryScope,
            long estimatedTokens,
            long nowMillis) {
        ownerScope.takeTokens(estimatedTokens, nowMillis);
        entryScope.takeTokens(estimatedTokens, nowMillis);
        return new Acquired.Success(new LimitPermit(units, usedTokens -> {
            ownerScope.correctTokens(usedTokens - estimatedTokens);
            entryScope.correctTokens(usedTokens - estimatedTokens);
        }));
    }

    private void applyCatalogue(Catalogue newCatalogue) {
        synchronized (limitShares) {
            newCatalogue.owners().values().forEach(owner -> setLimits("owner/" + owner.name(), owner.limits()));
            newCatalogue.entries().values().forEach(entry -> setLimits("entry/" + entry.name(), entry.limits()));
            scopes.keySet().removeIf(scopeName -> !isInCatalogue(newCatalogue, scopeName));
        }
    }

    private static boolean isInCatalogue(Catalogue catalogue, String scopeName) {
        String name = scopeName.substring(scopeName.indexOf('/') + 1);
        return scopeName.startsWith("owner/")
                ? catalogue.owners().containsKey(name)
                : catalogue.entries().containsKey(name);
    }

    private void setLimits(String scopeName, Limits limits) {
        LimitScope existing = scopes.get(scopeName);
        if (existing == null) {
            scopes.put(scopeName, new LimitScope(scopeName, limitShares, limits));
        } else {
            existing.setLimits(limits);
        }
    }

    private LimitScope ownerScope(CallerRequest request) {
        String owner = request.entry().owner();
        Function<String, LimitScope> newScope = name -> new LimitScope(name, limitShares, limitsOf(owner));
        return scopes.computeIfAbsent("owner/" + owner, newScope);
    }

    private LimitScope entryScope(CallerRequest request) {
        String scopeName = "entry/" + request.entry().name();
        return scopes.computeIfAbsent(
                scopeName,
                newScopeName -> new LimitScope(
                        newScopeName, limitShares, request.entry().limits()));
    }

    private Limits limitsOf(String owner) {
        return catalogue
                .current()
                .map(current -> current.owners().get(owner))
                .map(Owner::limits)
                .orElse(Limits.NONE);
    }

    /** The result of an attempt to acquire units of the limits. */
    sealed interface Acquired {

        /**
         * The units and tokens were acquired.
         *
         * @param permit the permit, to be released when the request ends
         */
        record Success(LimitPermit permit) implements Acquired {}

        /**
         * A limit prevents the request from starting.
         *
         * @param limitReached the limit
         */
        record Failure(LimitScope.LimitReached limitReached) implements Acquired {}
    }

    /** The concurrency units and tokens that one request holds under the limits. */
    final class LimitPermit {

        private final LimitAllocation.AcquiredUnit units;
        private final LongConsumer tokenCorrection;
        private boolean released;

        LimitPermit(LimitAllocation.AcquiredUnit units, LongConsumer tokenCorrection) {
            this.units = units;
            this.tokenCorrection = tokenCorrection;
        }

        /**
         * Releases the concurrency units and corrects the token count; a negative {@code usedTokens} keeps the
         * estimate. A second call has no effect.
         */
        void release(long usedTokens) {
            synchronized (limitShares) {
                if (released) {
                    return;
                }
                released = true;
                units.release();
                if (usedTokens >= 0) {
                    tokenCorrection.accept(usedTokens);
                }
            }
        }
    }
}
