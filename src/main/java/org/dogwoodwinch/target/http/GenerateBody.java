package org.dogwoodwinch.target.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Optional;
import org.dogwoodwinch.target.GenerateCall;
import org.dogwoodwinch.target.KvReference;

/**
 * A {@link GenerateCall} as it goes to an engine.
 *
 * @param attemptId names the attempt and the stream
 * @param model the model's name
 * @param prompt the whole prompt
 * @param maxTokens the most tokens to generate
 * @param priority a higher one goes first
 * @param remainingMillis what is left of the deadline, in milliseconds
 * @param prefillOnly whether only the prompt's KV cache is wanted
 * @param kvReference the KV cache to import; null to compute the prompt
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record GenerateBody(
        String attemptId,
        String model,
        String prompt,
        int maxTokens,
        int priority,
        long remainingMillis,
        boolean prefillOnly,
        KvReference kvReference) {

    /**
     * Makes the body of a call.
     *
     * @param call the call, not null
     * @return the body
     */
    public static GenerateBody of(GenerateCall call) {
        return new GenerateBody(
                call.attemptId(),
                call.model(),
                call.prompt(),
                call.maxTokens(),
                call.priority(),
                call.remainingMillis(),
                call.prefillOnly(),
                call.kvReference().orElse(null));
    }

    /**
     * Returns the call, as an engine reads it.
     *
     * @return the call
     * @throws NullPointerException if a part is missing
     */
    public GenerateCall toCall() {
        return new GenerateCall(
                attemptId,
                model,
                prompt,
                maxTokens,
                priority,
                remainingMillis,
                prefillOnly,
                Optional.ofNullable(kvReference));
    }
}
