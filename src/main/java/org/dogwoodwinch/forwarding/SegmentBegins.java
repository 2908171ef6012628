package org.dogwoodwinch.forwarding;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * When answers with each prompt segment last began, for the segments that were used last. Times are monotonic
 * milliseconds of this instance. Not thread-safe.
 */
final class SegmentBegins {

    /** Some hundred shared segments for each of about a dozen engines, in about one megabyte. */
    private static final int MAX_SEGMENTS = 8_192;

    private final Map<SegmentId, Begin> begins = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<SegmentId, Begin> _eldest) {
            return size() > MAX_SEGMENTS;
        }
    };

    /** Records that an answer to a call of this instance begins now. */
    void record(SegmentId segment, long nowMillis) {
        begins.computeIfAbsent(segment, _segment -> new Begin()).atMillis = nowMillis;
    }

    /** Records that an answer began at another instance; an earlier begin than the known one changes nothing. */
    void recordAtPeer(SegmentId segment, long begunMillis) {
        Begin begin = begins.computeIfAbsent(segment, _segment -> new Begin());
        begin.atMillis = Math.max(begin.atMillis, begunMillis);
    }

    /** Returns when the last answer began; {@link SegmentEvidence#NEVER_MILLIS} if none is known. */
    long lastMillis(SegmentId segment) {
        Begin begin = begins.get(segment);
        return begin == null ? SegmentEvidence.NEVER_MILLIS : begin.atMillis;
    }

    private static final class Begin {
        private long atMillis = SegmentEvidence.NEVER_MILLIS;
    }
}
