package org.dogwoodwinch.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The targets of one group by what they serve, in lists that a decision samples without a scan. */
final class GroupState {

    private static final int LANE_PLACES = 16;
    private static final double OUTPUT_WEIGHT = 0.05;

    private final List<TargetState> mixed = new ArrayList<>();
    private final List<TargetState> prefill = new ArrayList<>();
    private final List<TargetState> decode = new ArrayList<>();
    private double outputShare = 1;

    void add(TargetState state) {
        listOf(state).add(state);
    }

    void remove(TargetState state) {
        mixed.remove(state);
        prefill.remove(state);
        decode.remove(state);
    }

    /** Instances hear of targets in different orders; a common order makes runs with one seed repeat. */
    void sort() {
        Comparator<TargetState> byName =
                Comparator.comparing(state -> state.target().name());
        mixed.sort(byName);
        prefill.sort(byName);
        decode.sort(byName);
        for (int i = 0; i < mixed.size(); i++) {
            mixed.get(i).setPlace(i % LANE_PLACES);
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

    /** The part of the allowed output that answers really use, learned from usage. */
    double outputShare() {
        return outputShare;
    }

    void learnOutput(long completionTokens, int maxTokens) {
        if (maxTokens > 0) {
            double share = Math.min(1, completionTokens / (double) maxTokens);
            outputShare += OUTPUT_WEIGHT * (share - outputShare);
        }
    }

    private List<TargetState> listOf(TargetState state) {
        return switch (state.role()) {
            case PREFILL -> prefill;
            case DECODE -> decode;
            case MIXED -> mixed;
        };
    }
}
