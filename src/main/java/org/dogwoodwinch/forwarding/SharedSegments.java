package org.dogwoodwinch.forwarding;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which parts of prompts other requests may name again. Not thread-safe.
 *
 * <p>The last part of a prompt belongs to the request or its session; where two requests end with it, it is a session's. All
 * parts before the last are shared. What was not named for long is forgotten first.
 */
public final class SharedSegments {

    /** Some hundred shared parts for each of a dozen engines' memories, in about a megabyte. */
    private static final int MAX_SEGMENTS = 8_192;

    private final Map<String, Boolean> shared = lruMap();
    private final Map<String, Boolean> seenLast = lruMap();
    private final List<String> newlyShared = new ArrayList<>();

    /**
     * Sees the prompt of a request.
     *
     * @param prompt the prompt, not null
     */
    public void saw(Prompt prompt) {
        int lastIndex = prompt.parts().size() - 1;
        for (int i = 0; i < lastIndex; i++) {
            addShared(prompt.parts().get(i).id());
        }
        if (lastIndex < 0) {
            return;
        }
        String last = prompt.parts().get(lastIndex).id();
        if (seenLast.put(last, true) != null) {
            addShared(last);
        }
    }

    private void addShared(String segmentId) {
        if (learn(segmentId)) {
            newlyShared.add(segmentId);
        }
    }

    /**
     * Learns from others that a part is shared.
     *
     * @param segmentId the part, not null
     * @return whether that was news
     */
    public boolean learn(String segmentId) {
        return shared.put(segmentId, true) == null;
    }

    /**
     * Says whether a part is shared, as far as is known here.
     *
     * @param segmentId the part, not null
     * @return whether other requests may name it again
     */
    public boolean isShared(String segmentId) {
        return shared.containsKey(segmentId);
    }

    /**
     * Takes what was found here and not taken before.
     *
     * @return the parts, in the order in which they were found
     */
    public List<String> takeNews() {
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
