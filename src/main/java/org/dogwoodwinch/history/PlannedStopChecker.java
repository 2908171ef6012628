package org.dogwoodwinch.history;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dogwoodwinch.request.RefusalReason;
import org.dogwoodwinch.request.RunState;

/**
 * A call in flight on an instance that is told to stop is not cut: it neither loses its connection nor is refused after
 * it may have run. A refusal as not run, for a call that arrived with the stop, cuts nothing; nor is a call cut by the
 * stop whose attempt a crashing target cut.
 */
final class PlannedStopChecker implements PropertyChecker {

    @Override
    public Property property() {
        return Property.PLANNED_STOP_CUTS_NOTHING;
    }

    @Override
    public CheckResult check(History history) {
        CallIndex calls = new CallIndex(history);
        FaultWindows faults = new FaultWindows(history);
        List<Violation> violations = new ArrayList<>();
        long checked = 0;
        for (FleetEvent.PlannedStop stop :
                history.of(FleetEvent.PlannedStop.class).toList()) {
            List<RequestEvent.Invoked> inFlight = calls.calls().stream()
                    .filter(call -> call.instance().equals(stop.instance()) && calls.inFlightAt(call, stop.atMillis()))
                    .toList();
            checked += inFlight.size();
            inFlight.stream()
                    .filter(call -> !excused(call, calls, faults, history))
                    .forEach(call ->
                            judge(stop, call, calls.endOf(call.callId())).ifPresent(violations::add));
        }
        return new CheckResult(property(), checked, violations);
    }

    private static boolean excused(RequestEvent.Invoked call, CallIndex calls, FaultWindows faults, History history) {
        long endMillis = calls.endOf(call.callId()).map(HistoryEvent::atMillis).orElseGet(history::endMillis);
        return faults.explainsLostCall(call.instance(), call.atMillis(), endMillis)
                || history.of(AttemptEvent.Cut.class)
                        .filter(cut -> cut.cause() == AttemptEvent.Cause.CRASH)
                        .flatMap(cut -> calls.run(cut.attemptId()).stream())
                        .anyMatch(run -> run.requestId().equals(call.requestId()));
    }

    private static Optional<Violation> judge(
            FleetEvent.PlannedStop stop, RequestEvent.Invoked call, Optional<RequestEvent> end) {
        if (end.isEmpty()) {
            return Optional.of(Violation.of(
                    "forgotten-at-stop",
                    call.callId() + " never ended after " + stop.instance() + " stopped",
                    call,
                    stop));
        }
        if (!isCut(end.get())) {
            return Optional.empty();
        }
        return Optional.of(Violation.of(
                "cut-at-stop", call.callId() + " was cut by the stop of " + stop.instance(), call, stop, end.get()));
    }

    private static boolean isCut(RequestEvent end) {
        if (end instanceof RequestEvent.Lost lost) {
            return lost.connected();
        }
        return end instanceof RequestEvent.Refused refused && isCut(refused);
    }

    private static boolean isCut(RequestEvent.Refused refused) {
        return refused.run() == RunState.MAY_HAVE_RUN
                && (refused.reason() == RefusalReason.ANSWER_CUT
                        || refused.reason() == RefusalReason.STOPPING
                        || refused.reason() == RefusalReason.INTERNAL);
    }
}
