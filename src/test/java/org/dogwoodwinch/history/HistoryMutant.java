package org.dogwoodwinch.history;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import org.dogwoodwinch.catalogue.WorkClass;
import org.dogwoodwinch.request.RefusalReason;
import org.dogwoodwinch.request.RunState;

/**
 * What a run with a safeguard taken away would have written.
 *
 * @param name the mutant's name
 * @param property the property that it breaks
 * @param rule the rule that shows it
 * @param change makes the mutant's history of a good one
 */
record HistoryMutant(String name, Property property, String rule, UnaryOperator<History> change) {

    /** One mutant for each rule of each checker. */
    static final List<HistoryMutant> ALL = List.of(
            // Fencing off, and a paused holder sends its last order.
            new HistoryMutant(
                    "STALE_ORDER",
                    Property.NO_CONFLICTING_ORDERS,
                    "older-after-newer",
                    add(new OrderEvent.Applied(55_000, "e1", "late", 1, "role-0"))),
            // Fencing tokens counted by each holder for itself.
            new HistoryMutant(
                    "TOKEN_TWICE",
                    Property.NO_CONFLICTING_ORDERS,
                    "two-under-one-token",
                    add(
                            new OrderEvent.Applied(55_000, "e1", "first", 999, "role-0"),
                            new OrderEvent.Applied(55_001, "e1", "second", 999, "role-1"))),
            // Orders are sent without draining first.
            new HistoryMutant(
                    "NO_DRAIN",
                    Property.PLANNED_CHANGE_CUTS_NOTHING_URGENT,
                    "urgent-cut",
                    add(
                            invoked(40_000, "cut", "n1", WorkClass.URGENT, true),
                            new AttemptEvent.Executed(40_010, "e1", "cut@e1", "rcut"),
                            new AttemptEvent.Cut(40_020, "e1", "cut@e1", AttemptEvent.Cause.PLANNED_CHANGE),
                            refused(40_030, "cut", RefusalReason.ANSWER_CUT, RunState.MAY_HAVE_RUN))),
            // The order is sent without draining, and the attempt's end is not heard.
            new HistoryMutant(
                    "NO_DRAIN_UNHEARD",
                    Property.PLANNED_CHANGE_CUTS_NOTHING_URGENT,
                    "urgent-forgotten",
                    add(
                            invoked(40_000, "cut", "n1", WorkClass.URGENT, true),
                            new AttemptEvent.Executed(40_010, "e1", "cut@e1", "rcut"),
                            new AttemptEvent.Cut(40_020, "e1", "cut@e1", AttemptEvent.Cause.PLANNED_CHANGE))),
            // The order is sent before its intent is read back.
            new HistoryMutant(
                    "NO_INTENT",
                    Property.LOST_AUTHORITY_HAS_NO_EFFECT,
                    "no-intent",
                    add(new OrderEvent.Applied(55_000, "e9", "unknown", 1_000, "role-0"))),
            // The fold takes an intent without looking at its lease.
            new HistoryMutant(
                    "INTENT_AFTER_CLAIM",
                    Property.LOST_AUTHORITY_HAS_NO_EFFECT,
                    "lost-authority",
                    add(
                            new OrderEvent.Intended(55_000, "n1", "g", "e9", "stale", 10, 1_000, "role-0"),
                            new OrderEvent.Applied(55_001, "e9", "stale", 1_000, "role-0"))),
            // The fold takes an intent of a group that nobody holds.
            new HistoryMutant(
                    "INTENT_WITHOUT_CLAIM",
                    Property.LOST_AUTHORITY_HAS_NO_EFFECT,
                    "no-authority",
                    add(
                            new OrderEvent.Intended(55_000, "n1", "g2", "e9", "stale", 10, 1_000, "role-0"),
                            new OrderEvent.Applied(55_001, "e9", "stale", 1_000, "role-0"))),
            // A successor goes on without settling the open intent, and its predecessor wakes.
            new HistoryMutant(
                    "UNSETTLED_INTENT",
                    Property.LOST_AUTHORITY_HAS_NO_EFFECT,
                    "after-successor",
                    add(
                            new OrderEvent.AuthorityTaken(50_000, "n1", "g3", 1_000),
                            new OrderEvent.Intended(50_001, "n1", "g3", "e9", "old", 1_000, 1_001, "role-0"),
                            new OrderEvent.AuthorityTaken(50_002, "n2", "g3", 1_002),
                            new OrderEvent.Intended(50_003, "n2", "g3", "e9", "new", 1_002, 1_003, "role-1"),
                            new OrderEvent.Applied(50_004, "e9", "new", 1_003, "role-1"),
                            new OrderEvent.Applied(50_005, "e9", "old", 1_001, "role-0"))),
            // The order is a delta that the engine adds to what it finds.
            new HistoryMutant(
                    "OTHER_EFFECT",
                    Property.LOST_AUTHORITY_HAS_NO_EFFECT,
                    "not-what-was-decided",
                    add(
                            new OrderEvent.AuthorityTaken(50_000, "n1", "g3", 1_000),
                            new OrderEvent.Intended(50_001, "n1", "g3", "e9", "delta", 1_000, 1_001, "role-0"),
                            new OrderEvent.Applied(50_004, "e9", "delta", 1_001, "role-0 and more"))),
            // Answers are matched to calls by order of arrival.
            new HistoryMutant(
                    "CROSSED_ANSWERS",
                    Property.WHOLE_ANSWER_TO_ITS_CALLER,
                    "not-its-answer",
                    add(
                            invoked(40_000, "mine", "n1", WorkClass.STANDARD, true),
                            new RequestEvent.Answered(40_020, "mine", "answer rother"))),
            // A late answer ends a call a second time.
            new HistoryMutant(
                    "LATE_ANSWER",
                    Property.WHOLE_ANSWER_TO_ITS_CALLER,
                    "ended-twice",
                    add(
                            invoked(40_000, "two", "n1", WorkClass.STANDARD, true),
                            new RequestEvent.Answered(40_020, "two", "answer rtwo"),
                            new RequestEvent.Answered(40_030, "two", "answer rtwo"))),
            // A late answer goes out on a connection that is another's by now.
            new HistoryMutant(
                    "NOBODY_ASKED",
                    Property.WHOLE_ANSWER_TO_ITS_CALLER,
                    "nobody-asked",
                    add(new RequestEvent.Answered(40_020, "ghost", "answer"))),
            // The connection is closed without a word.
            new HistoryMutant(
                    "SILENT_CLOSE",
                    Property.WHOLE_ANSWER_TO_ITS_CALLER,
                    "lost",
                    add(
                            invoked(40_000, "lost", "n1", WorkClass.STANDARD, true),
                            new RequestEvent.Lost(40_020, "lost", true, "reset"))),
            // A queue forgets a request.
            new HistoryMutant(
                    "FORGOTTEN",
                    Property.WHOLE_ANSWER_TO_ITS_CALLER,
                    "never-ended",
                    add(invoked(40_000, "never", "n1", WorkClass.STANDARD, true))),
            // A timeout after the bytes went out is taken for "not sent".
            new HistoryMutant(
                    "FALSE_NOT_RUN",
                    Property.NOT_RUN_IS_TRUE,
                    "ran-after-all",
                    add(
                            invoked(40_000, "ran", "n1", WorkClass.STANDARD, true),
                            new AttemptEvent.Executed(40_010, "e1", "ran@e1", "rran"),
                            refused(40_020, "ran", RefusalReason.DEADLINE_PASSED, RunState.NOT_RUN))),
            // A request that may not be repeated is retried after its connection broke.
            new HistoryMutant(
                    "RUN_TWICE",
                    Property.AT_MOST_ONCE,
                    "ran-twice",
                    add(
                            invoked(40_000, "bill", "n1", WorkClass.STANDARD, false),
                            new AttemptEvent.Executed(40_010, "e1", "bill@e1", "rbill"),
                            new AttemptEvent.Executed(40_020, "e3", "bill@e3", "rbill"),
                            new RequestEvent.Answered(40_030, "bill", "answer rbill"))),
            // The leaving mark is read from the list at start only.
            new HistoryMutant(
                    "WORK_TO_LEAVING",
                    Property.LEAVING_TARGET_GETS_NO_WORK,
                    "work-after-grace",
                    add(new AttemptEvent.Executed(
                            GeneratedHistory.LEAVING_MILLIS + 5_001, GeneratedHistory.LEAVING, "x@e2", "rx"))),
            // A stop closes the streams that are open.
            new HistoryMutant(
                    "ABRUPT_STOP",
                    Property.PLANNED_STOP_CUTS_NOTHING,
                    "cut-at-stop",
                    add(
                            invoked(
                                    GeneratedHistory.STOP_MILLIS - 5,
                                    "halt",
                                    GeneratedHistory.STOPPED,
                                    WorkClass.LONG_READ,
                                    true),
                            new RequestEvent.Lost(GeneratedHistory.STOP_MILLIS + 1, "halt", true, "reset"))),
            // A stop exits with a request in the queue.
            new HistoryMutant(
                    "FORGETFUL_STOP",
                    Property.PLANNED_STOP_CUTS_NOTHING,
                    "forgotten-at-stop",
                    add(invoked(
                            GeneratedHistory.STOP_MILLIS - 5,
                            "halt",
                            GeneratedHistory.STOPPED,
                            WorkClass.LONG_READ,
                            true))),
            // Each instance takes the edits in the order in which it hears of them.
            new HistoryMutant(
                    "RACE_UNDECIDED",
                    Property.CATALOGUE_IN_FORCE_AND_NEVER_REVERTS,
                    "two-edits-on-one-base",
                    add(new CatalogueEvent.Edited(41_000, "rival", 103, 150))),
            // A late checkpoint is taken though records before it are missing.
            new HistoryMutant(
                    "OLD_CHECKPOINT",
                    Property.CATALOGUE_IN_FORCE_AND_NEVER_REVERTS,
                    "reverted",
                    add(new CatalogueEvent.InForce(59_000, "n1", 102, "content102"))),
            // The fold depends on something besides the log.
            new HistoryMutant(
                    "FOLDS_DIFFER",
                    Property.CATALOGUE_IN_FORCE_AND_NEVER_REVERTS,
                    "two-contents",
                    add(new CatalogueEvent.InForce(59_000, "n1", 104, "something else"))),
            // An instance stops reading the log.
            new HistoryMutant(
                    "DEAF_INSTANCE",
                    Property.CATALOGUE_IN_FORCE_AND_NEVER_REVERTS,
                    "not-in-force",
                    remove(event -> event instanceof CatalogueEvent.InForce inForce
                            && inForce.instance().equals("n1")
                            && inForce.revision() >= 103)));

    History of(History history) {
        return change.apply(history);
    }

    static HistoryMutant named(String name) {
        return ALL.stream()
                .filter(mutant -> mutant.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    @Override
    public String toString() {
        return name;
    }

    private static UnaryOperator<History> add(HistoryEvent... events) {
        return history -> {
            List<HistoryEvent> changed = new ArrayList<>(history.events());
            changed.addAll(Arrays.asList(events));
            return new History(changed);
        };
    }

    private static UnaryOperator<History> remove(Predicate<HistoryEvent> which) {
        return history ->
                new History(history.events().stream().filter(which.negate()).toList());
    }

    private static RequestEvent.Invoked invoked(
            long atMillis, String call, String instance, WorkClass workClass, boolean repeatable) {
        return new RequestEvent.Invoked(atMillis, call, "r" + call, instance, workClass, repeatable, "answer r" + call);
    }

    private static RequestEvent.Refused refused(long atMillis, String call, RefusalReason reason, RunState run) {
        return new RequestEvent.Refused(atMillis, call, reason, run);
    }
}
