package org.dogwoodwinch.forwarding;

import java.util.Objects;
import java.util.Optional;

/**
 * The targets chosen for a call.
 *
 * @param target the target that runs the call, not null
 * @param prefillTarget the target that prefills the prompt and transfers the KV cache to {@code target}; empty if {@code
 *     target} prefills the prompt itself
 * @param prefillWork the work of the target that prefills, not null
 */
public record ForwardingPlan(Incarnation target, Optional<Incarnation> prefillTarget, PrefillWork prefillWork) {

    /** Validates the components. */
    public ForwardingPlan {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(prefillTarget, "prefillTarget");
        Objects.requireNonNull(prefillWork, "prefillWork");
    }

    /**
     * The prefill work of a call.
     *
     * @param level the call's level in the queues of engines
     * @param prefillTokens the tokens that are in no KV cache within reach
     * @param cacheSource the engine from whose KV cache more of the prompt is fetched; empty if it has no more than the
     *     target
     */
    public record PrefillWork(int level, int prefillTokens, Optional<Incarnation> cacheSource) {

        /** The work of a call without a prompt. */
        public static final PrefillWork NONE = new PrefillWork(0, 0, Optional.empty());

        /** Validates the components. */
        public PrefillWork {
            Objects.requireNonNull(cacheSource, "cacheSource");
        }

        /**
         * Returns the work of a call that arrives with the KV cache of its whole prompt.
         *
         * @return work without tokens at the same level
         */
        public PrefillWork withoutPrefill() {
            return new PrefillWork(level, 0, Optional.empty());
        }
    }
}
