package org.dogwoodwinch.request;

/** Takes requests from the callers' listener and sees each through to its one answer. */
@FunctionalInterface
public interface RequestHandler {

    /**
     * Takes a request.
     *
     * @param request the request, not null
     * @param sink takes its answer, not null; it may be called before this method returns
     * @return the caller's hold on it
     */
    RequestHandle submit(CallerRequest request, AnswerSink sink);
}
