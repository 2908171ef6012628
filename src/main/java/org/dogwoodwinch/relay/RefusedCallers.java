package org.dogwoodwinch.relay;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The callers that were refused here and the times at which they were asked to return, by the fingerprints of their
 * calls. A caller that returns to another instance is not recognised there. Confined to one event loop.
 */
final class RefusedCallers {

    /** Bounds the memory; callers beyond it are served as newcomers. */
    private static final int MAX_COUNT = 4_096;

    private final Map<Long, Long> returnMillis = new LinkedHashMap<>();

    /** Records a refused caller and when it was asked to return, in monotonic milliseconds. */
    void recordRefusal(long fingerprint, long returnAtMillis) {
        returnMillis.remove(fingerprint);
        returnMillis.put(fingerprint, returnAtMillis);
        if (returnMillis.size() > MAX_COUNT) {
            returnMillis.remove(returnMillis.keySet().iterator().next());
        }
    }

    /** Removes a refused caller's record, and returns whether there was one whose time of return has come. */
    boolean takeReturn(long fingerprint, long nowMillis) {
        Long returnAtMillis = returnMillis.remove(fingerprint);
        return returnAtMillis != null && nowMillis >= returnAtMillis;
    }
}
