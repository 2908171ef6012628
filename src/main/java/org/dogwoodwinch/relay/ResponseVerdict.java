package org.dogwoodwinch.relay;

import java.util.Locale;

/** Whether a successful response whose end was seen is complete, or its target broke it off. */
enum ResponseVerdict {
    /** Nothing shows that anything is missing. */
    COMPLETE,
    /** The stream ends inside an event. */
    CUT_EVENT,
    /** The stream has no event, and only the end of its connection shows that it ended. */
    NO_EVENT;

    /**
     * Judges a stream of events. One that ends inside an event was broken off, whatever its framing states.
     *
     * @param end what showed that the response has ended, not null
     * @param isInsideEvent whether the last bytes belong to an incomplete event
     * @param eventsCount the number of complete events in this response
     * @return the verdict
     */
    static ResponseVerdict ofEvents(ResponseEnd end, boolean isInsideEvent, int eventsCount) {
        if (isInsideEvent) {
            return CUT_EVENT;
        }
        return end == ResponseEnd.CONNECTION && eventsCount == 0 ? NO_EVENT : COMPLETE;
    }

    /** Returns the reason for logs and metrics. */
    String reason() {
        return name().toLowerCase(Locale.ROOT);
    }
}
