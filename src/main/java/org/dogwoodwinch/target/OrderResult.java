package org.dogwoodwinch.target;

/** The result of an order to an engine. */
public sealed interface OrderResult {

    /**
     * The engine accepted the order and is applying it, or had applied it before.
     *
     * @param state the engine's state after it accepted the order
     */
    record Accepted(EngineState state) implements OrderResult {}

    /**
     * The engine refused the order because it has seen a higher fencing token: the sender no longer holds the
     * authority.
     *
     * @param highestToken the highest fencing token that the engine has seen
     */
    record Fenced(long highestToken) implements OrderResult {}

    /**
     * The engine refused the order for another reason and changed nothing.
     *
     * @param detail the reason
     */
    record Refused(String detail) implements OrderResult {}

    /**
     * The answer was lost, so the order may have been applied. The engine's state shows whether it was.
     *
     * @param detail the error
     */
    record Unknown(String detail) implements OrderResult {}
}
