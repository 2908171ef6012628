package org.dogwoodwinch.target;

import java.util.Objects;
import java.util.Optional;

/**
 * One attempt to generate an answer on one engine.
 *
 * @param attemptId identifies the attempt and the engine's stream; answers are matched by this id, never by their
 *     order, not null
 * @param model the model's name, not null
 * @param prompt the full prompt, not null
 * @param maxTokens the maximum number of tokens to generate, more than zero
 * @param priority the scheduling priority on the engine; higher values are scheduled first
 * @param remainingMillis the time left until the caller's deadline when the attempt is sent, in milliseconds
 * @param prefillOnly whether to compute only the prompt's KV cache and generate no tokens
 * @param kvReference the KV cache to import instead of computing the prompt; empty to compute the prompt
 */
public record GenerateCall(
        String attemptId,
        String model,
        String prompt,
        int maxTokens,
        int priority,
        long remainingMillis,
        boolean prefillOnly,
        Optional<KvReference> kvReference) {

    /** Validates the components. */
    public GenerateCall {
        Objects.requireNonNull(attemptId, "attemptId");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(prompt, "prompt");
        Objects.requireNonNull(kvReference, "kvReference");
    }
}
