package org.dogwoodwinch.forwarding;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks which prompt segments several requests share. Not thread-safe.
 *
 * <p>The last segment of a prompt belongs to the request or its session; if two requests end with it, it belongs to a
 * session. All segments before the last are shared. The segments that were unused for the longest time are evicted
 * first.
 */
public final class SharedSegments {

    /** Some hundred shared segments for each of about a dozen engines, in about one megabyte. */
    private static final int MAX_SEGMENTS = 8_192;

    private final Map<String, Boolean> shared = lruMap();
    private final Map<String, Boolean> seenLast = lruMap();
    private final List<String> newlyShared = new ArrayList<>();

    /**
     * Records the prompt of a request.
     *
     * @param prompt the prompt, not null
     */
    public void recordPrompt(Prompt prompt) {
        int lastIndex = prompt.segments().size() - 1;
        for (int i = 0; i < lastIndex; i++) {
            addShared(prompt.segments().get(i).id());
        }
        if (lastIndex < 0) {
            return;
        }
        String last = prompt.segments().get(lastIndex).id();
        if (seenLast.put(last, true) != null) {
            addShared(last);
        }
    }

    private void addShared(String segmentId) {
        if (markShared(segmentId)) {
            newlyShared.add(segmentId);
        }
    }

    /**
     * Records a segment that another instance reported as shared.
     *
     * @param segmentId the segment's id, not null
     * @return whether the segment was not yet known to be shared
     */
    public boolean markShared(String segmentId) {
        return shared.put(segmentId, true) == null;
    }

    /**
     * Returns whether a segment is known to be shared.
     *
     * @param segmentId the segment's id, not null
     * @return whether other requests may contain the segment
     */
    public boolean isShared(String segmentId) {
        return shared.containsKey(segmentId);
    }

    /**
     * Returns the segments that this instance found to be shared since the last call of this method, and clears the
     * list.
     *
     * @return the segment ids, in the order in which they were found
     */
    public List<String> takeNewlyShared() {
        List<String> taken = List.copyOf(newlyShared);
        newlyShared.clear();
        return taken;
    }

    private static Map<String, Boolean> lruMap() {
        return new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Boolean> _eldest) {
                return size() > MAX_SEGMENTS;
            }
        };
    }
}
