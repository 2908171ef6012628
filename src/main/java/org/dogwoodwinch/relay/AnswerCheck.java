package org.dogwoodwinch.relay;

import java.util.Optional;

/**
 * Finds in an answer to a control call what shows that it is not the answer to that call.
 *
 * <p>Failure: a server answers a call twice, and the second answer arrives after the next call was written on the same
 * connection. Nothing in its head tells it from the answer to that call. The connection would also be one answer behind
 * from then on.
 */
@FunctionalInterface
public interface AnswerCheck {

    /** Finds nothing. */
    AnswerCheck NONE = _answer -> Optional.empty();

    /**
     * Examines an answer.
     *
     * @param answer the answer, not null
     * @return the reason, for logs, why it is the answer to another call; empty if it may be the answer to this one
     */
    Optional<String> findContradiction(ControlReply.Answered answer);
}
