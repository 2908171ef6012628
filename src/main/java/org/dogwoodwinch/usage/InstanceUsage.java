package org.dogwoodwinch.usage;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.bytes.Packing;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * What one start of an instance has counted, as it publishes it.
 *
 * @param closedThrough the newest window whose counts are included; windows after it are still open
 * @param countsByWindow the calls that began to run, by window and owner, not null; a window without calls is absent
 */
public record InstanceUsage(long closedThrough, Map<Long, Map<String, Long>> countsByWindow) {

    private static final int FIELD_COUNT = 2;
    private static final int WINDOW_FIELD_COUNT = 2;

    /** Copies the maps. */
    public InstanceUsage {
        countsByWindow = Map.copyOf(countsByWindow);
    }

    /**
     * Returns the counts of one window.
     *
     * @param window the window's number
     * @return calls by owner; empty if there were none
     */
    public Map<String, Long> countsIn(long window) {
        return countsByWindow.getOrDefault(window, Map.of());
    }

    /**
     * Encodes the counts for the store.
     *
     * @return the bytes
     */
    public Bytes encode() {
        return Packing.pack(this, InstanceUsage::write);
    }

    /**
     * Decodes counts.
     *
     * @param content the bytes, not null
     * @return the counts
     * @throws IOException if the bytes are malformed
     */
    public static InstanceUsage decode(Bytes content) throws IOException {
        return Packing.unpack(content.toByteArray(), InstanceUsage::read);
    }

    private static void write(MessagePacker packer, InstanceUsage usage) throws IOException {
        packer.packArrayHeader(FIELD_COUNT);
        packer.packLong(usage.closedThrough);
        Packing.writeAll(packer, new TreeMap<>(usage.countsByWindow).entrySet(), (to, window) -> {
            to.packArrayHeader(WINDOW_FIELD_COUNT);
            to.packLong(window.getKey());
            Packing.writeNumbers(to, window.getValue());
        });
    }

    private static InstanceUsage read(MessageUnpacker unpacker) throws IOException {
        Packing.expectFields(unpacker, FIELD_COUNT);
        long closedThrough = unpacker.unpackLong();
        Map<Long, Map<String, Long>> countsByWindow = new TreeMap<>();
        Packing.readAll(unpacker, from -> {
            Packing.expectFields(from, WINDOW_FIELD_COUNT);
            long window = from.unpackLong();
            return countsByWindow.put(window, Packing.readNumbers(from));
        });
        return new InstanceUsage(closedThrough, countsByWindow);
    }
}
