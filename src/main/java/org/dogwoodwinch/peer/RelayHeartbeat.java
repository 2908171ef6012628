package org.dogwoodwinch.peer;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.bytes.Packing;

/**
 * The heartbeat of a relay: the instances that it receives messages from, and the offsets of their clocks.
 *
 * @param clockOffsetsMillis lower bounds of how far their clocks are ahead of the relay's, in milliseconds by instance
 *     name, not null
 */
record RelayHeartbeat(Map<String, Long> clockOffsetsMillis) {

    RelayHeartbeat {
        clockOffsetsMillis = Map.copyOf(clockOffsetsMillis);
    }

    Set<String> names() {
        return clockOffsetsMillis.keySet();
    }

    Optional<Long> clockOffsetMillis(String name) {
        return Optional.ofNullable(clockOffsetsMillis.get(name));
    }

    Bytes encode() {
        return Packing.pack(clockOffsetsMillis, Packing::writeNumbers);
    }

    static RelayHeartbeat decode(Bytes payload) throws IOException {
        return new RelayHeartbeat(Packing.unpack(payload.toByteArray(), Packing::readNumbers));
    }
}
