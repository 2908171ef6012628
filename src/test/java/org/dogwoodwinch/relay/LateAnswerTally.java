package org.dogwoodwinch.relay;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Plays late second answers, and counts what callers got and what was wrong with it. */
final class LateAnswerTally {

    private static final int EXAMPLES_PER_FAULT = 12;

    private final Map<LateAnswerPlay, Reference> references = new HashMap<>();
    private final Map<String, Integer> outcomes = new TreeMap<>();
    private final Map<LateAnswerFault, Map<String, Integer>> faults = new EnumMap<>(LateAnswerFault.class);
    private final Map<LateAnswerFault, List<String>> examples = new EnumMap<>(LateAnswerFault.class);
    private int plays;

    private record Reference(LateAnswerPlay.Result undisturbed, ReceivedAnswer otherSuccess) {}

    /** Plays a call and judges what came of it. */
    void play(LateAnswerPlay play) {
        Reference reference = references.computeIfAbsent(
                play.withoutLateAnswer(), calm -> new Reference(calm.run(), calm.successOfOtherTarget()));
        LateAnswerPlay.Result result = play.run();
        plays++;
        outcomes.merge(describe(result), 1, Integer::sum);
        Set<LateAnswerFault> found =
                LateAnswerFault.judge(play, result, reference.undisturbed(), reference.otherSuccess());
        for (LateAnswerFault fault : found) {
            faults.computeIfAbsent(fault, _fault -> new TreeMap<>()).merge(play.situation(), 1, Integer::sum);
            if (count(fault) <= EXAMPLES_PER_FAULT) {
                examples.computeIfAbsent(fault, _fault -> new ArrayList<>())
                        .add(play.describe() + " -> " + describe(result));
            }
        }
    }

    private static String describe(LateAnswerPlay.Result result) {
        String sends = result.sends() == 1 ? "sent once" : "sent again";
        if (result.waiting()) {
            return sends + ", waits";
        }
        String status = result.received().status() == 0
                ? "closed"
                : Integer.toString(result.received().status());
        String origin = result.received().stamp().isEmpty() ? "of the relay" : "with a stamp";
        String end = result.received().complete() ? "" : ", not complete";
        return sends + ", " + status + " " + origin + end;
    }

    int count(LateAnswerFault fault) {
        return faults.getOrDefault(fault, Map.of()).values().stream()
                .mapToInt(Integer::intValue)
                .sum();
    }

    int count(String outcome) {
        return outcomes.getOrDefault(outcome, 0);
    }

    String describeOutcomes() {
        return plays + " plays: " + outcomes;
    }

    /** Returns the number of plays with a fault in each situation, the first of them, and the outcomes of all plays. */
    String describe(LateAnswerFault fault) {
        return fault + " in " + count(fault) + " of " + plays + " plays: " + faults.getOrDefault(fault, Map.of()) + "\n"
                + String.join("\n", examples.getOrDefault(fault, List.of())) + "\n" + describeOutcomes();
    }
}
