package org.dogwoodwinch.forwarding;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * The software versions at which streams began, for as long as a caller may take them up again. Not thread-safe.
 *
 * <p>Load: every stream leaves an entry. Entries expire after the longest lifetime of a stream, and the number is
 * bounded; a stream whose entry was dropped counts as unknown.
 */
public final class StreamBegins {

    private static final int MAX_STREAMS = 50_000;

    private final LongSupplier lifetimeMillis;
    private final Map<StreamId, Begin> begins = new LinkedHashMap<>();

    /**
     * Creates an object without streams.
     *
     * @param lifetimeMillis supplies the longest time for which a stream may be taken up, in milliseconds, not null
     */
    public StreamBegins(LongSupplier lifetimeMillis) {
        this.lifetimeMillis = Objects.requireNonNull(lifetimeMillis, "lifetimeMillis");
    }

    /**
     * Records the version at which a stream began. If one id began at two versions, because a caller used it for two
     * streams, neither version is known to be the one that is meant.
     *
     * @param stream the stream, not null
     * @param softwareVersion the version of the target that made its first event, not null
     * @param nowMillis the monotonic time
     */
    public void record(StreamId stream, String softwareVersion, long nowMillis) {
        if (!stream.isRecordable()) {
            return;
        }
        expire(nowMillis);
        Begin previous = begins.remove(stream);
        boolean ambiguous =
                previous != null && (previous.ambiguous || !previous.softwareVersion.equals(softwareVersion));
        begins.put(stream, new Begin(softwareVersion, nowMillis, ambiguous));
    }

    /**
     * Returns the version at which a stream began.
     *
     * @param stream the stream, not null
     * @param nowMillis the monotonic time
     * @return the version and its age; empty if it is not known, or not known for certain
     */
    public Optional<KnownBegin> find(StreamId stream, long nowMillis) {
        expire(nowMillis);
        return Optional.ofNullable(begins.get(stream))
                .filter(begin -> !begin.ambiguous)
                .map(begin -> new KnownBegin(begin.softwareVersion, nowMillis - begin.recordedMillis));
    }

    /**
     * Returns whether one id began at two versions.
     *
     * @param stream the stream, not null
     * @return whether the id says nothing about the version
     */
    public boolean isAmbiguous(StreamId stream) {
        Begin begin = begins.get(stream);
        return begin != null && begin.ambiguous;
    }

    private void expire(long nowMillis) {
        Iterator<Begin> oldestFirst = begins.values().iterator();
        while (oldestFirst.hasNext()) {
            Begin oldest = oldestFirst.next();
            boolean expired = nowMillis - oldest.recordedMillis > lifetimeMillis.getAsLong();
            if (!expired && begins.size() < MAX_STREAMS) {
                return;
            }
            oldestFirst.remove();
        }
    }

    /**
     * The version at which a stream began.
     *
     * @param softwareVersion the version, not null
     * @param ageMillis the time since it was recorded, in milliseconds
     */
    public record KnownBegin(String softwareVersion, long ageMillis) {}

    private record Begin(String softwareVersion, long recordedMillis, boolean ambiguous) {}
}
