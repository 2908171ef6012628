package org.dogwoodwinch.usage;

import java.io.IOException;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.bytes.Packing;

/**
 * Which windows may be decided in an era of the store, as the log of reports holds it beside the decisions.
 *
 * <p>Failure: the store comes back from a copy that lacks the newest decisions. An instance that has started since sees
 * nothing of that in its own memory, takes the decisions in the copy for all that were made, and decides windows once
 * more, from other counts. The first holder of an era therefore records which windows are left out, and each later one
 * leaves out these and no others.
 *
 * @param era the era
 * @param firstWindow the first window that may be decided in it; decisions of earlier ones may be lost
 */
public record EraStart(long era, long firstWindow) {

    private static final int FIELD_COUNT = 2;

    /**
     * Encodes the start for the log.
     *
     * @return the bytes
     */
    public Bytes encode() {
        return Packing.pack(this, (packer, start) -> {
            packer.packArrayHeader(FIELD_COUNT);
            packer.packLong(start.era);
            packer.packLong(start.firstWindow);
        });
    }

    /**
     * Decodes a start.
     *
     * @param content the bytes, not null
     * @return the start
     * @throws IOException if the bytes are malformed
     */
    public static EraStart decode(Bytes content) throws IOException {
        return Packing.unpack(content.toByteArray(), unpacker -> {
            Packing.expectFields(unpacker, FIELD_COUNT);
            return new EraStart(unpacker.unpackLong(), unpacker.unpackLong());
        });
    }
}
