package org.dogwoodwinch.http;

/** One page of the operators' listener; called on I/O threads, so it must not wait. */
@FunctionalInterface
public interface OperatorPage {

    /**
     * Answers.
     *
     * @param call what is asked, not null
     * @return the answer
     */
    OperatorAnswer answer(OperatorCall call);
}
