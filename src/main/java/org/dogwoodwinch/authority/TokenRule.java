package org.dogwoodwinch.authority;

/** Computes the fencing token of an order. */
@FunctionalInterface
public interface TokenRule {

    /**
     * The default rule: the token is the offset of the intent, which increases from order to order across all holders.
     */
    TokenRule INTENT_OFFSET = intentOffset -> intentOffset;

    /**
     * Computes the token.
     *
     * @param intentOffset the log offset of the order's intent
     * @return the token
     */
    long tokenOf(long intentOffset);
}
