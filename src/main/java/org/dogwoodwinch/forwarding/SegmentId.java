package org.dogwoodwinch.forwarding;

import java.util.Objects;

/**
 * Identifies a segment of prompts for one model. Equal segments of different models are different work for an engine.
 *
 * @param model the name of the model, not null, may be empty
 * @param id the id of the segment, not null
 */
public record SegmentId(String model, String id) implements Comparable<SegmentId> {

    /** Checks that no component is null. */
    public SegmentId {
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(id, "id");
    }

    @Override
    public int compareTo(SegmentId other) {
        int byId = id.compareTo(other.id);
        return byId != 0 ? byId : model.compareTo(other.model);
    }

    /** Returns the model and the id for log lines and operators. */
    @Override
    public String toString() {
        return model + "/" + id;
    }
}
