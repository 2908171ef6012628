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
    private final Map<Key, Begin> begins = new LinkedHashMap<>();

    /**
     * Creates an object without streams.
     *
     * @param lifetimeMillis supplies the longest time for which a stream may be taken up, in milliseconds, not null
     */
    public StreamBegins(LongSupplier lifetimeMillis) {
        this.lifetimeMillis = Objects.requireNonNull(lifetimeMillis, "lifetimeMillis");
    }

    /**
     * Records the version at which a stream began. If one id began at two versions or services, because a caller used it
     * for two streams, none of them is known to be the one that is meant.
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
        Begin previous = begins.remove(Key.of(stream));
        boolean ambiguous = previous != null && !previous.isAt(stream.service(), softwareVersion);
        begins.put(Key.of(stream), new Begin(stream.service(), softwareVersion, nowMillis, ambiguous));
    }

    /**
     * Returns where a stream began.
     *
     * @param owner the name of the owner on whose behalf it runs; empty if it has none, not null
     * @param requestId the request id of the attempt that began it, not null
     * @param nowMillis the monotonic time
     * @return the service, the version and the age; empty if they are not known, or not known for certain
     */
    public Optional<KnownBegin> find(String owner, String requestId, long nowMillis) {
        expire(nowMillis);
        return Optional.ofNullable(begins.get(new Key(owner, requestId)))
                .filter(begin -> !begin.ambiguous)
                .map(begin -> new KnownBegin(begin.service, begin.softwareVersion, nowMillis - begin.recordedMillis));
    }

    /**
     * Returns whether an id says nothing, although begins are recorded under it, because they differ.
     *
     * @param owner the name of the owner; empty if there is none, not null
     * @param requestId the request id, not null
     * @return whether streams of the owner began under it at several versions or services
     */
    public boolean isAmbiguous(String owner, String requestId) {
        Begin begin = begins.get(new Key(owner, requestId));
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
     * Where a stream began.
     *
     * @param service the service, not null
     * @param softwareVersion the version, not null
     * @param ageMillis the time since it was recorded, in milliseconds
     */
    public record KnownBegin(String service, String softwareVersion, long ageMillis) {}

    /** A caller names its stream by the id alone; its route may lead to another service now. */
    private record Key(String owner, String requestId) {
        static Key of(StreamId stream) {
            return new Key(stream.owner(), stream.requestId());
        }
    }

    private record Begin(String service, String softwareVersion, long recordedMillis, boolean ambiguous) {
        boolean isAt(String otherService, String otherVersion) {
            return !ambiguous && service.equals(otherService) && softwareVersion.equals(otherVersion);
        }
    }
}
