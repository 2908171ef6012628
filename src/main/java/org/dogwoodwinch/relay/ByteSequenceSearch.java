package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBuf;

/** Searches for a sequence of bytes in bytes that arrive in pieces. */
final class ByteSequenceSearch {

    private final byte[] wanted;

    /** For each length of a partial match, the length of its longest end that is also a beginning of the sequence. */
    private final int[] fallbacks;

    private int matchedCount;
    private boolean found;

    /**
     * Creates a search.
     *
     * @param wanted the sequence, not null; not empty
     */
    ByteSequenceSearch(byte[] wanted) {
        this.wanted = wanted.clone();
        this.fallbacks = new int[wanted.length + 1];
        int length = 0;
        for (int i = 1; i < wanted.length; i++) {
            while (length > 0 && wanted[i] != wanted[length]) {
                length = fallbacks[length];
            }
            length += wanted[i] == wanted[length] ? 1 : 0;
            fallbacks[i + 1] = length;
        }
    }

    /**
     * Searches on in the next piece.
     *
     * @param piece the bytes, not null; its reader index is not changed
     * @return whether the sequence has been found in this or an earlier piece
     */
    boolean find(ByteBuf piece) {
        if (!found) {
            found = piece.forEachByte(this::isStillWanted) >= 0;
        }
        return found;
    }

    private boolean isStillWanted(byte next) {
        while (matchedCount > 0 && wanted[matchedCount] != next) {
            matchedCount = fallbacks[matchedCount];
        }
        matchedCount += wanted[matchedCount] == next ? 1 : 0;
        return matchedCount < wanted.length;
    }
}
