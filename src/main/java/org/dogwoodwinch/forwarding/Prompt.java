package org.dogwoodwinch.forwarding;

import java.util.List;
import java.util.Objects;

/**
 * The properties that a call to a model states of its prompt and its answer.
 *
 * @param model the model's name, not null, may be empty
 * @param inputTokens the length of the prompt
 * @param maxOutputTokens maximum number of tokens to generate
 * @param segments the segments of the prompt in order, not null; the last one belongs to this request or its session
 *     alone
 */
public record Prompt(String model, int inputTokens, int maxOutputTokens, List<PromptSegment> segments) {

    /** Validates the components and copies the list. */
    public Prompt {
        Objects.requireNonNull(model, "model");
        segments = List.copyOf(segments);
    }

    /**
     * Returns the segments that other requests may share.
     *
     * @return all segments but the last one, in order; empty if there are fewer than two
     */
    public List<SegmentId> sharedSegments() {
        return segments.stream()
                .limit(Math.max(0, segments.size() - 1))
                .map(segment -> SegmentId.of(model, segment.id()))
                .toList();
    }
}
