package org.dogwoodwinch.standin.platform;

/** What a stand-in does with a request. */
@FunctionalInterface
public interface StandInHandler {

    /**
     * Handles a request; the answer may be written later, on the same event loop.
     *
     * @param request the request, not null
     * @param answer takes the answer, not null
     */
    void handle(StandInRequest request, StandInAnswer answer);
}
