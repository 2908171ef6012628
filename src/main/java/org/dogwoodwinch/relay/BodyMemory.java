package org.dogwoodwinch.relay;

/**
 * Bounds the memory of all request bodies that are held at once. Used on one event loop alone.
 *
 * <p>Failure: many callers send large bodies together, each within its own limit, and the process is killed for its
 * memory with every call in it. A caller that is over the bound is told to come back instead.
 */
final class BodyMemory {

    private final long maxBytes;
    private long reservedBytes;

    BodyMemory(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Takes room for bytes; false, and nothing is taken, where there is none. */
    boolean tryReserve(int bytes) {
        if (reservedBytes + bytes > maxBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    void release(int bytes) {
        reservedBytes -= bytes;
    }
}
