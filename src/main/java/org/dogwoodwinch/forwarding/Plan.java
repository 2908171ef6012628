package org.dogwoodwinch.forwarding;

import java.util.Objects;
import java.util.Optional;

/**
 * Where a call goes.
 *
 * @param target runs it, not null
 * @param prefill reads its prompt first and hands the memory on, empty where the target reads it itself
 * @param reading what the one that reads has to do, not null
 */
public record Plan(Incarnation target, Optional<Incarnation> prefill, Reading reading) {

    /** Checks. */
    public Plan {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(prefill, "prefill");
        Objects.requireNonNull(reading, "reading");
    }

    /**
     * How a prompt is read.
     *
     * @param level the call's level in the queues of engines
     * @param unreadTokens the tokens that are kept nowhere in reach
     * @param keeper the engine from whose memory more of the prompt is fetched, empty where it keeps no more
     */
    public record Reading(int level, int unreadTokens, Optional<Incarnation> keeper) {

        /** A call without a prompt. */
        public static final Reading NONE = new Reading(0, 0, Optional.empty());

        /** Checks. */
        public Reading {
            Objects.requireNonNull(keeper, "keeper");
        }

        /**
         * The call arrives with all of its prompt's memory.
         *
         * @return a reading of nothing on the same level
         */
        public Reading done() {
            return new Reading(level, 0, Optional.empty());
        }
    }
}
