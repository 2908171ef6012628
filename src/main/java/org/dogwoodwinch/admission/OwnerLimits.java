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
 * The limits of owners and entries, as far as this instance's shares go. Thread-safe: it holds the
 * {@link ShareExchange}'s monitor.
 */
final class OwnerLimits {

    private final CatalogueView catalogue;
    private final ShareExchange limitShares;
    private final TimeSource time;
    private final Map<String, LimitScope> scopes = new HashMap<>();

    OwnerLimits(CatalogueView catalogue, ShareExchange limitShares, TimeSource time) {
        this.catalogue = Objects.requireNonNull(catalogue, "catalogue");
        this.limitShares = Objects.requireNonNull(limitShares, "shares");
        this.time = Objects.requireNonNull(time, "time");
        catalogue.onChange(this::applyCatalogue);
        catalogue.current().ifPresent(this::applyCatalogue);
    }

    /** Takes a place and the tokens under both the owner's and the entry's limits, or says which limit is in the way. */
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

    /** Tells the peers what had to wait since the last call. */
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

    /** What became of an attempt to take a place. */
    sealed interface Acquired {

        /**
         * A place was taken.
         *
         * @param permit to be released
         */
        record Success(LimitPermit permit) implements Acquired {}

        /**
         * A limit is in the way.
         *
         * @param limitReached which
         */
        record Failure(LimitScope.LimitReached limitReached) implements Acquired {}
    }

    /** A place under the limits. */
    final class LimitPermit {

        private final LimitAllocation.AcquiredUnit units;
        private final LongConsumer tokenCorrection;
        private boolean released;

        LimitPermit(LimitAllocation.AcquiredUnit units, LongConsumer tokenCorrection) {
            this.units = units;
            this.tokenCorrection = tokenCorrection;
        }

        /** Gives the place back; {@code usedTokens} below zero leaves the estimate as it is. */
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
