package org.dogwoodwinch.target.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Optional;
import org.dogwoodwinch.target.GenerateCall;
import org.dogwoodwinch.target.KvReference;

/**
 * The JSON body of a {@link GenerateCall}.
 *
 * @param attemptId identifies the attempt and the stream
 * @param model the model's name
 * @param prompt the full prompt
 * @param maxTokens the maximum number of tokens to generate
 * @param priority the scheduling priority on the engine; higher values are scheduled first
 * @param remainingMillis the time left until the deadline, in milliseconds
 * @param prefillOnly whether to compute only the prompt's KV cache
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
     * Creates the body of a call.
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
     * Converts this body to a call, as on the engine's side.
     *
     * @return the call
     * @throws NullPointerException if a required field is missing
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
