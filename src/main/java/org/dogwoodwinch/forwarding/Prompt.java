package org.dogwoodwinch.forwarding;

import java.util.List;
import java.util.Objects;

/**
 * What a call to a model states of its work.
 *
 * @param model the model's name, not null, may be empty
 * @param inputTokens the prompt's length
 * @param maxOutputTokens the most tokens that may be generated
 * @param parts the prompt's parts in order; the last belongs to the request or its session alone
 */
public record Prompt(String model, int inputTokens, int maxOutputTokens, List<PromptPart> parts) {

    /** Checks and copies. */
    public Prompt {
        Objects.requireNonNull(model, "model");
        parts = List.copyOf(parts);
    }
}
