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
 * @param leadsMillis milliseconds by the names of those that it hears, not null
 */
record RelayHeartbeat(Map<String, Long> leadsMillis) {

    RelayHeartbeat {
        leadsMillis = Map.copyOf(leadsMillis);
    }

    Set<String> names() {
        return leadsMillis.keySet();
    }

    Optional<Long> leadMillis(String name) {
        return Optional.ofNullable(leadsMillis.get(name));
    }

    Bytes encode() {
        return Packing.pack(leadsMillis, Packing::writeNumbers);
    }

    static RelayHeartbeat decode(Bytes payload) throws IOException {
        return new RelayHeartbeat(Packing.unpack(payload.toByteArray(), Packing::readNumbers));
    }
}
