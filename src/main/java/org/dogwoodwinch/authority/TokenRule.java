package org.dogwoodwinch.authority;

/** Makes an order's fencing token. */
@FunctionalInterface
public interface TokenRule {

    /** The rule that daemons use: the offset of the intent, which orders all orders of all holders. */
    TokenRule INTENT_OFFSET = intentOffset -> intentOffset;

    /**
     * Makes the token.
     *
     * @param intentOffset where the order's intent stands on the log
     * @return the token
     */
    long tokenOf(long intentOffset);
}
