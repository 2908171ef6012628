package org.dogwoodwinch.target;

/** What an engine said to an order. */
public sealed interface OrderResult {

    /**
     * The engine has taken the order and is applying it, or had applied it before.
     *
     * @param state the engine's state afterwards
     */
    record Accepted(EngineState state) implements OrderResult {}

    /**
     * The engine has seen a higher fencing token: whoever sent this has lost its authority.
     *
     * @param highestToken the token the engine holds
     */
    record Fenced(long highestToken) implements OrderResult {}

    /**
     * The engine refused the order for another reason and did nothing.
     *
     * @param detail why
     */
    record Refused(String detail) implements OrderResult {}

    /**
     * The answer was lost: the order may have been applied. The engine's state decides.
     *
     * @param detail what went wrong
     */
    record Unknown(String detail) implements OrderResult {}
}
