package org.dogwoodwinch.history;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Every order that had an effect was decided on the log by the holder of that moment, and none of an earlier holder had
 * an effect after one of its successor.
 *
 * <p>A holder that lost its authority may still repeat what the log decided while it had it: that is the successor's
 * duty too, so it is no effect of its own.
 */
final class LostAuthorityChecker implements PropertyChecker {

    @Override
    public Property property() {
        return Property.LOST_AUTHORITY_HAS_NO_EFFECT;
    }

    @Override
    public CheckResult check(History history) {
        Map<String, OrderEvent.Intended> intents = new HashMap<>();
        history.of(OrderEvent.Intended.class).forEach(intent -> intents.putIfAbsent(intent.orderId(), intent));
        List<OrderEvent.AuthorityTaken> claims =
                history.of(OrderEvent.AuthorityTaken.class).toList();
        List<OrderEvent.Applied> all = history.of(OrderEvent.Applied.class).toList();
        List<Violation> violations = new ArrayList<>();
        Map<String, OrderEvent.Applied> newestHolderByEngine = new HashMap<>();
        for (OrderEvent.Applied applied : all) {
            OrderEvent.Intended intent = intents.get(applied.orderId());
            if (intent == null) {
                violations.add(Violation.of(
                        "no-intent", applied.orderId() + " had an effect and was never on the log", applied));
                continue;
            }
            judgeIntent(intent, applied, claims).ifPresent(violations::add);
            OrderEvent.Applied newest = newestHolderByEngine.get(applied.engine());
            if (newest != null
                    && intent.leaseToken() < intents.get(newest.orderId()).leaseToken()) {
                violations.add(Violation.of(
                        "after-successor",
                        applied.orderId() + " had an effect after " + newest.orderId() + " of a later holder",
                        intent,
                        intents.get(newest.orderId()),
                        newest,
                        applied));
            } else {
                newestHolderByEngine.put(applied.engine(), applied);
            }
        }
        return new CheckResult(property(), all.size(), violations);
    }

    private static Optional<Violation> judgeIntent(
            OrderEvent.Intended intent, OrderEvent.Applied applied, List<OrderEvent.AuthorityTaken> claims) {
        if (!intent.configuration().equals(applied.configuration())) {
            return Optional.of(Violation.of(
                    "not-what-was-decided",
                    applied.orderId() + " had another effect than the log decided",
                    intent,
                    applied));
        }
        Optional<OrderEvent.AuthorityTaken> holder = claims.stream()
                .filter(claim -> claim.group().equals(intent.group()) && claim.leaseToken() < intent.fencingToken())
                .max(Comparator.comparingLong(OrderEvent.AuthorityTaken::leaseToken));
        if (holder.isEmpty()) {
            return Optional.of(Violation.of(
                    "no-authority",
                    applied.orderId() + " had an effect though nobody held " + intent.group(),
                    intent,
                    applied));
        }
        if (holder.get().leaseToken() != intent.leaseToken()) {
            return Optional.of(Violation.of(
                    "lost-authority",
                    applied.orderId() + " had an effect though " + holder.get().instance() + " held " + intent.group()
                            + " by then",
                    holder.get(),
                    intent,
                    applied));
        }
        return Optional.empty();
    }
}
