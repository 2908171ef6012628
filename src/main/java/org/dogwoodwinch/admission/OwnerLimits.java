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
    private final ShareExchange shares;
    private final TimeSource time;
    private final Map<String, LimitScope> scopes = new HashMap<>();

    OwnerLimits(CatalogueView catalogue, ShareExchange shares, TimeSource time) {
        this.catalogue = Objects.requireNonNull(catalogue, "catalogue");
        this.shares = Objects.requireNonNull(shares, "shares");
        this.time = Objects.requireNonNull(time, "time");
        catalogue.onChange(this::onCatalogue);
        catalogue.current().ifPresent(this::onCatalogue);
    }

    /** Takes a place and the tokens under both the owner's and the entry's limits, or says which limit is in the way. */
    Acquired tryAcquire(CallerRequest request, long tokens) {
        synchronized (shares) {
            long nowMillis = time.monotonicMillis();
            LimitScope owner = ownerScope(request);
            LimitScope entry = entryScope(request);
            Optional<LimitScope.Blocked> blocked =
                    owner.check(tokens, nowMillis).or(() -> entry.check(tokens, nowMillis));
            if (blocked.isPresent()) {
                return new Acquired.No(blocked.get());
            }
            return takePlaces(request.deadlineMillis(), owner, entry)
                    .<Acquired>map(use -> taken(use, owner, entry, tokens, nowMillis))
                    .orElseGet(() -> new Acquired.No(owner.concurrencyBlocked()));
        }
    }

    /** Tells the peers what had to wait since the last call. */
    void reportWaiting() {
        synchronized (shares) {
            scopes.values().forEach(LimitScope::reportWaiting);
        }
    }

    private Optional<ShareLedger.Use> takePlaces(long untilMillis, LimitScope owner, LimitScope entry) {
        long nowMillis = time.monotonicMillis();
        Optional<ShareLedger.Use> ownerUse = owner.takePlace(untilMillis, nowMillis);
        if (ownerUse.isEmpty()) {
            return Optional.empty();
        }
        Optional<ShareLedger.Use> entryUse = entry.takePlace(untilMillis, nowMillis);
        if (entryUse.isEmpty()) {
            ownerUse.get().release();
            return Optional.empty();
        }
        return Optional.of(() -> {
            ownerUse.get().release();
            entryUse.get().release();
        });
    }

    private Acquired taken(ShareLedger.Use use, LimitScope owner, LimitScope entry, long tokens, long nowMillis) {
        owner.takeTokens(tokens, nowMillis);
        entry.takeTokens(tokens, nowMillis);
        return new Acquired.Yes(new LimitPermit(use, used -> {
            owner.correctTokens(used - tokens);
            entry.correctTokens(used - tokens);
        }));
    }

    private void onCatalogue(Catalogue newCatalogue) {
        synchronized (shares) {
            newCatalogue.owners().values().forEach(owner -> setLimits("owner/" + owner.name(), owner.limits()));
            newCatalogue.entries().values().forEach(entry -> setLimits("entry/" + entry.name(), entry.limits()));
            scopes.keySet().removeIf(name -> !isNamed(newCatalogue, name));
        }
    }

    private static boolean isNamed(Catalogue catalogue, String scope) {
        String name = scope.substring(scope.indexOf('/') + 1);
        return scope.startsWith("owner/")
                ? catalogue.owners().containsKey(name)
                : catalogue.entries().containsKey(name);
    }

    private void setLimits(String name, Limits limits) {
        LimitScope known = scopes.get(name);
        if (known == null) {
            scopes.put(name, new LimitScope(name, shares, limits));
        } else {
            known.setLimits(limits);
        }
    }

    private LimitScope ownerScope(CallerRequest request) {
        String owner = request.entry().owner();
        Function<String, LimitScope> make = name -> new LimitScope(name, shares, limitsOf(owner));
        return scopes.computeIfAbsent("owner/" + owner, make);
    }

    private LimitScope entryScope(CallerRequest request) {
        String name = "entry/" + request.entry().name();
        return scopes.computeIfAbsent(
                name, scope -> new LimitScope(scope, shares, request.entry().limits()));
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
        record Yes(LimitPermit permit) implements Acquired {}

        /**
         * A limit is in the way.
         *
         * @param blocked which
         */
        record No(LimitScope.Blocked blocked) implements Acquired {}
    }

    /** A place under the limits. */
    final class LimitPermit {

        private final ShareLedger.Use use;
        private final LongConsumer correction;
        private boolean released;

        LimitPermit(ShareLedger.Use use, LongConsumer correction) {
            this.use = use;
            this.correction = correction;
        }

        /** Gives the place back; {@code usedTokens} below zero leaves the estimate as it is. */
        void release(long usedTokens) {
            synchronized (shares) {
                if (released) {
                    return;
                }
                released = true;
                use.release();
                if (usedTokens >= 0) {
                    correction.accept(usedTokens);
                }
            }
        }
    }
}
