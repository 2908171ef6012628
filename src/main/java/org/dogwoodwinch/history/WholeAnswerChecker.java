package org.dogwoodwinch.history;

import java.util.ArrayList;
import java.util.List;

/**
 * Each call ends once: with its own whole answer or with a refusal. A call whose instance was killed, paused or cut off
 * may end without either, and so may one that no instance ever took.
 */
final class WholeAnswerChecker implements PropertyChecker {

    @Override
    public Property property() {
        return Property.WHOLE_ANSWER_TO_ITS_CALLER;
    }

    @Override
    public CheckResult check(History history) {
        CallIndex calls = new CallIndex(history);
        FaultWindows faults = new FaultWindows(history);
        List<Violation> violations = new ArrayList<>();
        calls.endsByCall().forEach((callId, ends) -> {
            if (calls.call(callId).isEmpty()) {
                violations.add(Violation.of("nobody-asked", callId + " ended and was never made", ends.get(0)));
            }
        });
        calls.calls().forEach(call -> judge(call, calls.endsOf(call.callId()), history, faults, violations));
        return new CheckResult(property(), calls.calls().size(), violations);
    }

    private static void judge(
            RequestEvent.Invoked call,
            List<RequestEvent> ends,
            History history,
            FaultWindows faults,
            List<Violation> violations) {
        if (ends.size() > 1) {
            violations.add(Violation.of("ended-twice", call.callId() + " ended twice", call, ends.get(0), ends.get(1)));
        }
        if (ends.isEmpty()) {
            if (!faults.explainsLostCall(call.instance(), call.atMillis(), history.endMillis())) {
                violations.add(Violation.of("never-ended", call.callId() + " never ended", call));
            }
            return;
        }
        RequestEvent end = ends.get(0);
        if (end instanceof RequestEvent.Answered answered && !answered.answer().equals(call.expectedAnswer())) {
            violations.add(Violation.of(
                    "not-its-answer", call.callId() + " got something else than its whole answer", call, end));
        }
        if (end instanceof RequestEvent.Lost lost
                && lost.connected()
                && !faults.explainsLostCall(call.instance(), call.atMillis(), lost.atMillis())) {
            violations.add(Violation.of(
                    "lost", call.callId() + " got neither answer nor refusal, and no fault explains it", call, end));
        }
    }
}
