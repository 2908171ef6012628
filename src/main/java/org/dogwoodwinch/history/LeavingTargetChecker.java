package org.dogwoodwinch.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** From a few seconds after the first sign that a target is leaving, no attempt reaches it, run or declined. */
final class LeavingTargetChecker implements PropertyChecker {

    private final long graceMillis;

    LeavingTargetChecker(long graceMillis) {
        this.graceMillis = graceMillis;
    }

    @Override
    public Property property() {
        return Property.LEAVING_TARGET_GETS_NO_WORK;
    }

    @Override
    public CheckResult check(History history) {
        Map<String, FleetEvent.TargetLeaving> leaving = new HashMap<>();
        List<Violation> violations = new ArrayList<>();
        for (HistoryEvent event : history.events()) {
            if (event instanceof FleetEvent.TargetLeaving sign) {
                leaving.putIfAbsent(sign.target(), sign);
            } else if (event instanceof FleetEvent.TargetBack back) {
                leaving.remove(back.target());
            } else if (event instanceof AttemptEvent attempt && !(event instanceof AttemptEvent.Cut)) {
                judge(leaving.get(attempt.target()), attempt, violations);
            }
        }
        long signs = history.of(FleetEvent.TargetLeaving.class).count();
        return new CheckResult(property(), signs, violations);
    }

    private void judge(FleetEvent.TargetLeaving sign, AttemptEvent attempt, List<Violation> violations) {
        if (sign != null && attempt.atMillis() > sign.atMillis() + graceMillis) {
            violations.add(Violation.of(
                    "work-after-grace",
                    attempt.target() + " got " + attempt.attemptId() + " " + (attempt.atMillis() - sign.atMillis())
                            + " ms after the first sign",
                    sign,
                    attempt));
        }
    }
}
