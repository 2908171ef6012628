package org.dogwoodwinch.history;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dogwoodwinch.catalogue.WorkClass;

/** An urgent call that was in flight when an order cut its attempt still ends with its answer. */
final class PlannedChangeChecker implements PropertyChecker {

    @Override
    public Property property() {
        return Property.PLANNED_CHANGE_CUTS_NOTHING_URGENT;
    }

    @Override
    public CheckResult check(History history) {
        CallIndex calls = new CallIndex(history);
        List<Violation> violations = new ArrayList<>();
        history.of(AttemptEvent.Cut.class)
                .filter(cut -> cut.cause() == AttemptEvent.Cause.PLANNED_CHANGE)
                .forEach(cut -> calls.run(cut.attemptId()).ifPresent(run -> judge(calls, run, cut, violations)));
        long orders = history.of(OrderEvent.Applied.class).count();
        return new CheckResult(property(), orders, violations);
    }

    private static void judge(
            CallIndex calls, AttemptEvent.Executed run, AttemptEvent.Cut cut, List<Violation> violations) {
        calls.callsOf(run.requestId()).stream()
                .filter(call -> call.workClass() == WorkClass.URGENT && calls.inFlightAt(call, cut.atMillis()))
                .forEach(call ->
                        judge(call, calls.endOf(call.callId()), run, cut).ifPresent(violations::add));
    }

    private static Optional<Violation> judge(
            RequestEvent.Invoked call, Optional<RequestEvent> end, AttemptEvent.Executed run, AttemptEvent.Cut cut) {
        String what = "an order to " + cut.target() + " cut " + call.requestId();
        if (end.isEmpty()) {
            return Optional.of(Violation.of("urgent-forgotten", what + ", which never ended", call, run, cut));
        }
        if (end.get() instanceof RequestEvent.Answered) {
            return Optional.empty();
        }
        return Optional.of(Violation.of("urgent-cut", what + ", which got no answer", call, run, cut, end.get()));
    }
}
