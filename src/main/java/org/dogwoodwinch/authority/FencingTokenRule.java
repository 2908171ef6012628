package org.dogwoodwinch.authority;

/** Computes the fencing token of an order. */
@FunctionalInterface
public interface FencingTokenRule {

    /**
     * The default rule: the token is the offset of the intent, which increases from order to order across all holders.
     */
    FencingTokenRule INTENT_OFFSET = intentOffset -> intentOffset;

    /**
     * Computes the token.
     *
     * @param intentOffset the log offset of the order's intent
     * @return the token
     */
    long fencingToken(long intentOffset);
}
