package org.dogwoodwinch.request;

/** Accepts requests from the callers' listener and answers each of them exactly once. */
@FunctionalInterface
public interface RequestHandler {

    /**
     * Submits a request.
     *
     * @param request the request, not null
     * @param sink receives the answer, not null; may be called before this method returns
     * @return the handle that controls the request
     */
    RequestHandle submit(CallerRequest request, AnswerSink sink);
}
