package org.dogwoodwinch.http;

import java.util.concurrent.CompletionStage;

/** One page of the operators' listener; called on I/O threads, so it must not wait. */
@FunctionalInterface
public interface OperatorPage {

    /**
     * Answers.
     *
     * @param call what is asked, not null
     * @return completes with the answer
     */
    CompletionStage<OperatorAnswer> answer(OperatorCall call);
}
