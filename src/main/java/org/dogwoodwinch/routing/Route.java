package org.dogwoodwinch.routing;

import java.util.Optional;
import java.util.function.Function;
import org.dogwoodwinch.target.Target;

/** The result of a routing decision. */
public sealed interface Route {

    /**
     * The attempt is sent to a target; its prompt may be computed on another target first.
     *
     * @param target the target that generates the answer, or the target of a plain service
     * @param prefillTarget the target that computes the prompt and exports its KV cache; empty if {@code target} does
     *     both
     * @param expectedFirstTokenMillis the expected time to the first token, in milliseconds
     */
    record Chosen(Target target, Optional<Target> prefillTarget, long expectedFirstTokenMillis) implements Route {}

    /**
     * No target can accept the attempt.
     *
     * @param detail the reason
     * @param retryAfterMillis the time after which the caller may retry, in milliseconds
     */
    record NoTarget(String detail, long retryAfterMillis) implements Route {}

    /**
     * Calls the function for the kind of this route.
     *
     * @param chosen the function for {@link Chosen}
     * @param none the function for {@link NoTarget}
     * @param <T> the result type of the functions
     * @return the result of the function
     */
    default <T> T match(Function<Chosen, T> chosen, Function<NoTarget, T> none) {
        if (this instanceof Chosen value) {
            return chosen.apply(value);
        }
        return none.apply((NoTarget) this);
    }
}
