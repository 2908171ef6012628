package org.dogwoodwinch.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The targets of one group in one list per role, so that a decision can sample a role without a scan. */
final class GroupState {

    private static final int PACKING_RANKS = 16;
    private static final double OUTPUT_SMOOTHING_WEIGHT = 0.05;

    private final List<TargetState> mixed = new ArrayList<>();
    private final List<TargetState> prefill = new ArrayList<>();
    private final List<TargetState> decode = new ArrayList<>();
    private double outputFraction = 1;

    void add(TargetState state) {
        listFor(state).add(state);
    }

    void remove(TargetState state) {
        mixed.remove(state);
        prefill.remove(state);
        decode.remove(state);
    }

    /**
     * Sorts the targets by name. Instances learn of targets in different orders; a common order gives all of them the
     * same packing ranks and makes seeded runs repeatable.
     */
    void sort() {
        Comparator<TargetState> byName =
                Comparator.comparing(state -> state.target().name());
        mixed.sort(byName);
        prefill.sort(byName);
        decode.sort(byName);
        for (int i = 0; i < mixed.size(); i++) {
            mixed.get(i).setPackingRank(i % PACKING_RANKS);
        }
    }

    List<TargetState> mixed() {
        return mixed;
    }

    List<TargetState> prefill() {
        return prefill;
    }

    List<TargetState> decode() {
        return decode;
    }

    int size() {
        return mixed.size() + prefill.size() + decode.size();
    }

    List<TargetState> all() {
        List<TargetState> all = new ArrayList<>(mixed);
        all.addAll(prefill);
        all.addAll(decode);
        return all;
    }

    /**
     * Returns the mean ratio of generated tokens to the request's limit, as a moving average over completed answers.
     */
    double outputFraction() {
        return outputFraction;
    }

    void updateOutputFraction(long completionTokens, int maxTokens) {
        if (maxTokens > 0) {
            double observedFraction = Math.min(1, completionTokens / (double) maxTokens);
            outputFraction += OUTPUT_SMOOTHING_WEIGHT * (observedFraction - outputFraction);
        }
    }

    private List<TargetState> listFor(TargetState state) {
        return switch (state.role()) {
            case PREFILL -> prefill;
            case DECODE -> decode;
            case MIXED -> mixed;
        };
    }
}
