package org.dogwoodwinch.forwarding;

import java.util.Objects;
import java.util.Optional;

/**
 * The targets chosen for a call.
 *
 * @param target the target that runs the call, not null
 * @param prefill the target that prefills the prompt and transfers the KV cache to {@code target}; empty if {@code
 *     target} prefills the prompt itself
 * @param reading the work of the target that prefills, not null
 */
public record Plan(Incarnation target, Optional<Incarnation> prefill, Reading reading) {

    /** Validates the components. */
    public Plan {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(prefill, "prefill");
        Objects.requireNonNull(reading, "reading");
    }

    /**
     * The prefill work of a call.
     *
     * @param level the call's level in the queues of engines
     * @param unreadTokens the tokens that are in no KV cache within reach
     * @param keeper the engine from whose KV cache more of the prompt is fetched; empty if it has no more than the
     *     target
     */
    public record Reading(int level, int unreadTokens, Optional<Incarnation> keeper) {

        /** The work of a call without a prompt. */
        public static final Reading NONE = new Reading(0, 0, Optional.empty());

        /** Validates the components. */
        public Reading {
            Objects.requireNonNull(keeper, "keeper");
        }

        /**
         * Returns the work of a call that arrives with the KV cache of its whole prompt.
         *
         * @return work without tokens at the same level
         */
        public Reading done() {
            return new Reading(level, 0, Optional.empty());
        }
    }
}
