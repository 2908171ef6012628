package org.dogwoodwinch.relay;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import org.dogwoodwinch.forwarding.CallOwner;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.RouteKind;
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
    private final boolean isStream;
    private final boolean isResumable;
    private final String service;
    private final String owner;
    private Optional<String> softwareVersion = Optional.empty();

    StreamContinuity(StreamOrigins origins, RoutedCall call) {
        this.origins = Objects.requireNonNull(origins, "origins");
        this.attributes = call.attributes();
        this.isStream = call.route().kind() == RouteKind.STREAM;
        this.isResumable = call.route().resumable();
        this.service = call.service().name();
        this.owner = call.owner().map(CallOwner::name).orElse("");
    }

    /** Returns whether the caller takes up a stream of which it has received an event. */
    boolean takesUpStream() {
        return isStream && attributes.lastEventId().isPresent();
    }

    /** Returns the version of the targets that may run the call; empty if any may. */
    Optional<String> softwareVersion() {
        return softwareVersion;
    }

    /** Finds the version that began the stream that the caller takes up. */
    void findOrigin(Consumer<StreamOrigin> onFound) {
        origins.find(service, attributes.resumes().map(this::streamOf), origin -> {
            if (origin instanceof StreamOrigin.Known known) {
                softwareVersion = Optional.of(known.softwareVersion());
            }
            onFound.accept(origin);
        });
    }

    /** Records the version of the target that makes the first event. Called before the event is passed on. */
    void onEvents(Incarnation target) {
        if (softwareVersion.isPresent()) {
            return;
        }
        softwareVersion = Optional.of(target.softwareVersion());
        if (isResumable) {
            attributes
                    .requestId()
                    .ifPresent(id ->
                            origins.recordBegin(streamOf(id), target.softwareVersion(), attributes.deadlineMillis()));
        }
    }

    private StreamId streamOf(String requestId) {
        return new StreamId(owner, service, requestId);
    }
}
