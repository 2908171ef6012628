package org.dogwoodwinch.admission;

/** Permission to run one request. It counts against the owner's limits until it is released. */
@FunctionalInterface
public interface Permit {

    /**
     * Releases the permit and corrects the estimated token count; a second call has no effect.
     *
     * @param usedTokens number of prompt and output tokens that the request used, or -1 if unknown
     */
    void release(long usedTokens);
}
