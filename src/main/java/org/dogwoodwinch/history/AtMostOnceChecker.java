package org.dogwoodwinch.history;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A request that may not be repeated has one run at most, whatever its caller, the instances and the faults did. */
final class AtMostOnceChecker implements PropertyChecker {

    @Override
    public Property property() {
        return Property.AT_MOST_ONCE;
    }

    @Override
    public CheckResult check(History history) {
        CallIndex calls = new CallIndex(history);
        Map<String, RequestEvent.Invoked> unrepeatable = new LinkedHashMap<>();
        calls.calls().stream()
                .filter(call -> !call.repeatable())
                .forEach(call -> unrepeatable.putIfAbsent(call.requestId(), call));
        List<Violation> violations = new ArrayList<>();
        unrepeatable.forEach((requestId, call) -> {
            List<AttemptEvent.Executed> runs = calls.runsOf(requestId);
            if (runs.size() > 1) {
                violations.add(Violation.of(
                        "ran-twice",
                        requestId + " may not be repeated and ran " + runs.size() + " times",
                        call,
                        runs.get(0),
                        runs.get(1)));
            }
        });
        return new CheckResult(property(), unrepeatable.size(), violations);
    }
}
