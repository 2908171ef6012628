package org.dogwoodwinch.relay;

import java.util.OptionalLong;
import java.util.function.Consumer;
import org.dogwoodwinch.forwarding.StreamId;

/** The software versions that began the streams of all instances. Confined to the event loop. */
public interface StreamOrigins {

    /**
     * Records the version that began a stream, before its first event is passed on.
     *
     * @param stream the stream, not null
     * @param softwareVersion the version of the target that made the event, not null
     * @param callerMillis how long the caller waits, and may take the stream up, in milliseconds; empty if it does not
     *     state it, not null
     */
    void recordBegin(StreamId stream, String softwareVersion, OptionalLong callerMillis);

    /**
     * Finds the service and the version that began a stream which a caller takes up. The answer comes within a bounded
     * time, at once if no other instance has to be asked.
     *
     * @param takeUp the stream, and where it may go on, not null
     * @param onFound receives what is known, exactly once, not null
     */
    void find(StreamTakeUp takeUp, Consumer<StreamOrigin> onFound);
}
