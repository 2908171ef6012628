package org.dogwoodwinch.peer;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.bytes.Packing;

/**
 * Who a relay hears, and what their clocks are ahead of its own at least.
 *
 * @param clockOffsetsMillis milliseconds by the names of those that it hears, not null
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
