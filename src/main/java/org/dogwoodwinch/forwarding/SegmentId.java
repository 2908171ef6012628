package org.dogwoodwinch.forwarding;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Objects;

/**
 * Identifies a segment of prompts for one model. Equal segments of different models are different work for an engine.
 *
 * @param model the name of the model, not null, may be empty
 * @param id the id of the segment, not null
 */
public record SegmentId(String model, String id) implements Comparable<SegmentId> {

    /** Longer than the names of models and ids of segments that a platform gives out. */
    private static final int MAX_LENGTH = 64;

    /** Checks that no component is null. */
    public SegmentId {
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(id, "id");
    }

    /**
     * Returns the identity of a segment that a caller named. A longer name than is useful is replaced by its hash, since
     * it is kept and told to other instances.
     *
     * @param model the name of the model, not null
     * @param id the id of the segment, not null
     * @return the identity
     */
    public static SegmentId of(String model, String id) {
        return new SegmentId(shorten(model), shorten(id));
    }

    private static String shorten(String name) {
        return name.length() <= MAX_LENGTH
                ? name
                : Hashing.murmur3_128().hashString(name, StandardCharsets.UTF_8).toString();
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
