package org.dogwoodwinch.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.dogwoodwinch.forwarding.StreamId;

/** Stream origins of one instance without others, or those that several instances of a test share. */
public final class LocalStreamOrigins implements StreamOrigins {

    private final Map<StreamId, String> versions = new HashMap<>();

    @Override
    public void recordBegin(StreamId stream, String softwareVersion, OptionalLong _callerMillis) {
        versions.put(stream, softwareVersion);
    }

    @Override
    public void find(StreamTakeUp takeUp, Consumer<StreamOrigin> onFound) {
        Optional<StreamOrigin> found = takeUp.services().stream()
                .map(service ->
                        new StreamId(takeUp.owner(), service, takeUp.requestId().orElse("")))
                .filter(versions::containsKey)
                .<StreamOrigin>map(stream ->
                        new StreamOrigin.Known(stream.service(), versions.get(stream), StreamOrigin.Source.RECORDED, 0))
                .findFirst();
        onFound.accept(found.orElseGet(() -> new StreamOrigin.Unknown("no_record")));
    }
}
