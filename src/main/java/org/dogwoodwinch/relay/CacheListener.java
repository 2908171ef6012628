package org.dogwoodwinch.relay;

/** Receives the changes of KV caches that engines report to {@link CacheWatch}. */
public interface CacheListener {

    /**
     * The number of a segment's tokens in an engine's cache changed.
     *
     * @param engineId the engine's id, not null
     * @param partId the id of the segment, not null
     * @param keptTokens the number of its tokens that are now cached; zero if it was evicted
     */
    void onSegmentChange(String engineId, String partId, int keptTokens);

    /**
     * An engine's index entries were replaced by its complete list, or removed.
     *
     * @param engineId the engine's id, not null
     */
    void onReset(String engineId);

    /**
     * This instance no longer polls an engine.
     *
     * @param engineId the engine's id, not null
     */
    void onPollingStopped(String engineId);
}
