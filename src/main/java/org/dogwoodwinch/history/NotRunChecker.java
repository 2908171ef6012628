package org.dogwoodwinch.history;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dogwoodwinch.request.RunState;

/**
 * Each run of a request is owed to a call that was not told "not run".
 *
 * <p>The word is about the call that gets it: a resend may be told "not run" while an earlier call of the same request
 * runs. What a resend may do is then decided by {@link AtMostOnceChecker}.
 */
final class NotRunChecker implements PropertyChecker {

    @Override
    public Property property() {
        return Property.NOT_RUN_IS_TRUE;
    }

    @Override
    public CheckResult check(History history) {
        CallIndex calls = new CallIndex(history);
        List<Violation> violations = new ArrayList<>();
        history.of(AttemptEvent.Executed.class).forEach(run -> judge(calls, run).ifPresent(violations::add));
        long told = history.of(RequestEvent.Refused.class)
                .filter(refused -> refused.run() == RunState.NOT_RUN)
                .count();
        return new CheckResult(property(), told, violations);
    }

    private static Optional<Violation> judge(CallIndex calls, AttemptEvent.Executed run) {
        List<RequestEvent.Invoked> earlier = calls.callsOf(run.requestId()).stream()
                .filter(call -> call.atMillis() <= run.atMillis())
                .toList();
        if (earlier.isEmpty()
                || earlier.stream().anyMatch(call -> toldNotRun(calls, call).isEmpty())) {
            return Optional.empty();
        }
        List<HistoryEvent> excerpt = new ArrayList<>(List.of(run));
        earlier.forEach(call -> {
            excerpt.add(call);
            toldNotRun(calls, call).ifPresent(excerpt::add);
        });
        return Optional.of(new Violation(
                "ran-after-all",
                run.requestId() + " ran on " + run.target() + ", and each of its callers was told \"not run\"",
                excerpt));
    }

    private static Optional<RequestEvent> toldNotRun(CallIndex calls, RequestEvent.Invoked call) {
        return calls.endOf(call.callId())
                .filter(end -> end instanceof RequestEvent.Refused refused && refused.run() == RunState.NOT_RUN);
    }
}
