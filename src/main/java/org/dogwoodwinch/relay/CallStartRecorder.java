package org.dogwoodwinch.relay;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.forwarding.CallOwner;
import org.dogwoodwinch.forwarding.RouteKind;
import org.dogwoodwinch.time.TimeSource;

/**
 * Counts one call for its owner, once, however many targets it runs on. Confined to one event loop.
 *
 * <p>A stream begins to run with its first event. Other calls begin about when they are sent, since their response only
 * arrives when they end.
 */
final class CallStartRecorder {

    private final CallStarts callStarts;
    private final Optional<CallOwner> owner;
    private final boolean isStream;
    private final TimeSource time;
    private long sentWallMillis;
    private boolean recorded;

    CallStartRecorder(CallStarts callStarts, Optional<CallOwner> owner, RouteKind kind, TimeSource time) {
        this.callStarts = Objects.requireNonNull(callStarts, "callStarts");
        this.owner = Objects.requireNonNull(owner, "owner");
        this.isStream = kind == RouteKind.STREAM;
        this.time = Objects.requireNonNull(time, "time");
    }

    /** Notes the moment at which the call is sent to a target. */
    void onSent() {
        sentWallMillis = time.wallMillis();
    }

    /** Counts a stream whose first event has arrived. */
    void onStreamEvent() {
        record(time.wallMillis());
    }

    /** Counts a call without events that a target has run, or may have run. */
    void onMayHaveRun() {
        if (!isStream) {
            record(sentWallMillis);
        }
    }

    private void record(long startedWallMillis) {
        if (!recorded && owner.isPresent()) {
            recorded = true;
            callStarts.recordStart(owner.get().name(), startedWallMillis);
        }
    }
}
