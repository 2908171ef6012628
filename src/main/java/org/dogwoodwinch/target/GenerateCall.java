package org.dogwoodwinch.target;

import java.util.Objects;
import java.util.Optional;

/**
 * One attempt to generate an answer on one engine.
 *
 * @param attemptId names the attempt and the engine's stream; answers are matched by it, never by order, not null
 * @param model the model's name, not null
 * @param prompt the whole prompt, not null
 * @param maxTokens the most tokens to generate, more than zero
 * @param priority the engine's scheduling priority; a higher one goes first
 * @param remainingMillis what is left of the caller's deadline when the attempt is sent, in milliseconds
 * @param prefillOnly whether to compute the prompt's KV cache and generate nothing
 * @param kvReference the KV cache to import instead of computing the prompt; empty to compute it
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

    /** Checks the parts. */
    public GenerateCall {
        Objects.requireNonNull(attemptId, "attemptId");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(prompt, "prompt");
        Objects.requireNonNull(kvReference, "kvReference");
    }
}
