package org.dogwoodwinch.measure;

import java.util.concurrent.CompletionStage;

/** Sends one prompt some way and times its answer. */
@FunctionalInterface
interface PathCaller {

    /**
     * Sends.
     *
     * @param requestId names the request, not null
     * @param prompt the prompt, not null
     * @return completes normally with what came
     */
    CompletionStage<PathAnswer> send(String requestId, String prompt);
}
