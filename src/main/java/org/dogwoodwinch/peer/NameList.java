package org.dogwoodwinch.peer;

import java.io.IOException;
import java.util.Collection;
import java.util.Set;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.bytes.Packing;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Names of instances as a message carries them. */
final class NameList {

    private NameList() {}

    static Bytes encode(Collection<String> names) {
        return Packing.pack(names, (packer, all) -> Packing.writeAll(packer, all, MessagePacker::packString));
    }

    static Set<String> decode(Bytes payload) throws IOException {
        return Set.copyOf(Packing.unpack(
                payload.toByteArray(), unpacker -> Packing.readAll(unpacker, MessageUnpacker::unpackString)));
    }
}
