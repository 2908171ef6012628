package org.dogwoodwinch.relay;

/** Hears what the watch of engines' memories learns from the engines themselves. */
public interface CacheListener {

    /**
     * An engine keeps a part, or less of it.
     *
     * @param engineId the engine's id, not null
     * @param partId the part, not null
     * @param keptTokens how many of its tokens are kept now; zero where it was dropped
     */
    void changed(String engineId, String partId, int keptTokens);

    /**
     * An engine's whole list was taken, or what was known of it was forgotten.
     *
     * @param engineId the engine's id, not null
     */
    void listed(String engineId);

    /**
     * An engine is watched from here no more.
     *
     * @param engineId the engine's id, not null
     */
    void unwatched(String engineId);
}
