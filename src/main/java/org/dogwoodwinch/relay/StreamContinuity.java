package org.dogwoodwinch.relay;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import org.dogwoodwinch.forwarding.CallOwner;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.StreamId;

/**
 * The software version of the targets that may go on with the stream of one call. What two versions write does not fit
 * together, and targets do not check it. Confined to one event loop.
 *
 * <p>Any version may begin a stream. From its first event on, only targets of the version that made this event may go on
 * with it, within one response and when the caller takes the stream up in another call.
 */
final class StreamContinuity {

    private final StreamOrigins origins;
    private final CallAttributes attributes;
    private final boolean isResumable;
    private final String service;
    private final String owner;
    private final Consumer<FirstEvent> onFirstEvent;
    private final boolean isTakenUp;
    private Optional<String> softwareVersion;
    private Optional<String> lastEventId = Optional.empty();
    private boolean hasEvent;
    private boolean hasEventOfSend;

    /**
     * Creates the state of a call that was not sent.
     *
     * @param origins the versions that began the streams of all instances, not null
     * @param call the call, not null
     * @param onFirstEvent receives the first event of each response, if the stream can be taken up or is taken up, not
     *     null
     */
    StreamContinuity(StreamOrigins origins, RoutedCall call, Consumer<FirstEvent> onFirstEvent) {
        this.onFirstEvent = Objects.requireNonNull(onFirstEvent, "onFirstEvent");
        this.origins = Objects.requireNonNull(origins, "origins");
        this.attributes = call.attributes();
        this.isResumable = call.route().resumable();
        this.service = call.service().name();
        this.owner = call.owner().map(CallOwner::name).orElse("");
        this.isTakenUp = call.origin().isPresent();
        this.softwareVersion = call.origin().map(StreamOrigin.Known::softwareVersion);
    }

    /** Returns whether the call takes up a stream whose version is known, and has brought no event of it. */
    boolean isTakenUpWithoutEvent() {
        return isTakenUp && !hasEvent;
    }

    /** Returns the version of the targets that may run the call; empty if any may. */
    Optional<String> softwareVersion() {
        return softwareVersion;
    }

    /** Records that the call is sent to a target, which goes on after the given event if there is one. */
    void beginSend(Optional<String> newLastEventId) {
        lastEventId = newLastEventId;
        hasEventOfSend = false;
    }

    /**
     * Records the version of the target that makes the first event. Called before the event is passed on, and for all
     * later ones.
     *
     * @param target the target that made the events, not null
     */
    void onEvents(Incarnation target) {
        if (hasEventOfSend) {
            return;
        }
        hasEventOfSend = true;
        FirstEvent event = new FirstEvent(target, softwareVersion, lastEventId, isTakenUpWithoutEvent());
        hasEvent = true;
        if (softwareVersion.isEmpty()) {
            softwareVersion = Optional.of(target.softwareVersion());
            if (isResumable) {
                attributes
                        .requestId()
                        .ifPresent(id -> origins.recordBegin(
                                streamOf(id), target.softwareVersion(), attributes.deadlineMillis()));
            }
        }
        if (isResumable || isTakenUp) {
            onFirstEvent.accept(event);
        }
    }

    private StreamId streamOf(String requestId) {
        return new StreamId(owner, service, requestId);
    }

    /**
     * The first event of one response.
     *
     * @param target the target that made it, not null
     * @param versionDemanded the software version that the target had to have; empty if any would do, not null
     * @param lastEventId the id of the event after which the target was to go on; empty if it began the stream, not null
     * @param isFirstOfTakeUp whether it is the first one of a call that takes up a stream
     */
    record FirstEvent(
            Incarnation target,
            Optional<String> versionDemanded,
            Optional<String> lastEventId,
            boolean isFirstOfTakeUp) {

        /** Returns whether the target has the software version that was demanded of it. */
        boolean isOfVersionDemanded() {
            return versionDemanded.isEmpty() || versionDemanded.get().equals(target.softwareVersion());
        }
    }
}
