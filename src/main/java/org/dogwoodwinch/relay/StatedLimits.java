package org.dogwoodwinch.relay;

import java.util.OptionalDouble;
import org.dogwoodwinch.forwarding.Incarnation;

/** Hears what targets state of the calls that they take; what it hears may be told to other instances. */
public interface StatedLimits {

    /**
     * A target answered a call.
     *
     * @param target the start of the target that the call was sent to, not null
     * @param perSecond the calls a second that it takes from all instances together, empty where it names no limit, not null
     * @param sentMillis when the call was sent, in monotonic milliseconds
     */
    void answered(Incarnation target, OptionalDouble perSecond, long sentMillis);

    /**
     * A target is listed no more, or has started anew.
     *
     * @param targetId its id, not null
     */
    void forget(String targetId);
}
