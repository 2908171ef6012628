package org.dogwoodwinch.follow;

/**
 * Positions in a partition of the platform's log. A position holds the era of the store in its upper bits and the
 * offset in its lower ones, so that positions are ordered by era first.
 *
 * <p>Failure: the store comes back from a copy that is some seconds old, and gives offsets out again. By offset alone,
 * the records of the lost history count as newer than those written since, reads continue behind what was written, and
 * the holder of a lease gets a lower fencing token than its predecessor. The store raises its era by one each time.
 *
 * <p>In era zero, of a store that states none, a position is the offset.
 */
public final class LogPosition {

    private static final int OFFSET_BITS = 32;
    private static final long OFFSET_MASK = (1L << OFFSET_BITS) - 1;

    private LogPosition() {}

    /**
     * Returns the position of an offset.
     *
     * @param era the era of the store, not negative
     * @param offset the offset, from zero to 2^32 - 1
     * @return the position
     */
    public static long of(long era, long offset) {
        return (era << OFFSET_BITS) | (offset & OFFSET_MASK);
    }

    /**
     * Returns the era of a position.
     *
     * @param position the position, not negative
     * @return the era of the store
     */
    public static long era(long position) {
        return position >> OFFSET_BITS;
    }

    /**
     * Returns the offset of a position.
     *
     * @param position the position, not negative
     * @return the offset in its era
     */
    public static long offset(long position) {
        return position & OFFSET_MASK;
    }

    /**
     * Describes a position for logs.
     *
     * @param position the position, not negative
     * @return era and offset, separated by a colon; the offset alone in era zero
     */
    public static String describe(long position) {
        return era(position) == 0 ? Long.toString(position) : era(position) + ":" + offset(position);
    }
}
