package org.dogwoodwinch.relay;

/**
 * Limits the memory of all request bodies held at the same time. Confined to one event loop.
 *
 * <p>Failure: many callers send large bodies at the same time, each within the limit of a single body, and the process
 * runs out of memory and is killed with all its calls. A request beyond the common limit is refused instead.
 */
final class BodyMemory {

    private final long maxBytes;
    private long reservedBytes;

    BodyMemory(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Reserves memory for bytes; returns false without a reservation if that would exceed the limit. */
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
