package org.dogwoodwinch.admission;

/** Leave to run one request; counts against its owner until it is released. */
@FunctionalInterface
public interface Permit {

    /**
     * Gives the permit back and corrects the estimated token count; a second call has no effect.
     *
     * @param usedTokens prompt and generated tokens that the request really cost; -1 where unknown
     */
    void release(long usedTokens);
}
