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

    void recordRefusal(long fingerprint, long returnAtMillis) {
        returnMillis.remove(fingerprint);
        returnMillis.put(fingerprint, returnAtMillis);
        if (returnMillis.size() > MAX_COUNT) {
            returnMillis.remove(returnMillis.keySet().iterator().next());
        }
    }

    /** Returns whether a call is that of a refused caller, who has waited as long as it was told. */
    boolean takeReturn(long fingerprint, long nowMillis) {
        Long returnAtMillis = returnMillis.remove(fingerprint);
        return returnAtMillis != null && nowMillis >= returnAtMillis;
    }
}
