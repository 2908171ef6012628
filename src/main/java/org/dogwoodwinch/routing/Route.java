package org.dogwoodwinch.routing;

import java.util.Optional;
import java.util.function.Function;
import org.dogwoodwinch.target.Target;

/** Where an attempt goes. */
public sealed interface Route {

    /**
     * The attempt goes to a target, its prompt possibly computed on another one first.
     *
     * @param target generates the answer, or is the plain service's target
     * @param prefillTarget computes the prompt and exports its KV cache; empty where the target does both
     * @param expectedFirstTokenMillis when the first token is expected, in milliseconds from now
     */
    record Chosen(Target target, Optional<Target> prefillTarget, long expectedFirstTokenMillis) implements Route {}

    /**
     * No target can take it.
     *
     * @param detail why
     * @param retryAfterMillis when to come back, in milliseconds
     */
    record None(String detail, long retryAfterMillis) implements Route {}

    /**
     * Calls the function of this route's kind.
     *
     * @param chosen for {@link Chosen}
     * @param none for {@link None}
     * @param <T> what the functions return
     * @return what the function returned
     */
    default <T> T match(Function<Chosen, T> chosen, Function<None, T> none) {
        if (this instanceof Chosen value) {
            return chosen.apply(value);
        }
        return none.apply((None) this);
    }
}
