package org.dogwoodwinch.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Orders that an engine takes only ever move forward: an older one after a newer one, or two different ones under one
 * fencing token, conflict. One order repeated is no conflict.
 */
final class ConflictingOrdersChecker implements PropertyChecker {

    @Override
    public Property property() {
        return Property.NO_CONFLICTING_ORDERS;
    }

    @Override
    public CheckResult check(History history) {
        Map<String, OrderEvent.Applied> newestByEngine = new HashMap<>();
        List<Violation> violations = new ArrayList<>();
        List<OrderEvent.Applied> all = history.of(OrderEvent.Applied.class).toList();
        for (OrderEvent.Applied applied : all) {
            OrderEvent.Applied newest = newestByEngine.putIfAbsent(applied.engine(), applied);
            if (newest == null) {
                continue;
            }
            if (applied.fencingToken() < newest.fencingToken()) {
                violations.add(Violation.of(
                        "older-after-newer",
                        applied.engine() + " took order " + applied.orderId() + " after the newer " + newest.orderId(),
                        newest,
                        applied));
            } else if (applied.fencingToken() == newest.fencingToken()
                    && !applied.configuration().equals(newest.configuration())) {
                violations.add(Violation.of(
                        "two-under-one-token",
                        applied.engine() + " took two different orders under token " + applied.fencingToken(),
                        newest,
                        applied));
            } else {
                newestByEngine.put(applied.engine(), applied);
            }
        }
        return new CheckResult(property(), all.size(), violations);
    }
}
