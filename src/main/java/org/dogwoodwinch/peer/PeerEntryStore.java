package org.dogwoodwinch.peer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The entries that one instance holds, and how often each of them remains to be transmitted. Not thread-safe.
 *
 * <p>A new version is transmitted a limited number of times, a little more than the logarithm of the number of members,
 * which reaches nearly all of them; a member that it misses gets the next version, or a snapshot when it starts. If the
 * budget is too small, versions replace each other before they are transmitted, so that updates become older instead of
 * the traffic growing.
 */
final class PeerEntryStore {

    private static final int MAX_ENTRIES = 20_000;
    private static final List<String> TOPICS_BY_PRIORITY = List.of(
            PeerTopic.QUARANTINE.name(),
            PeerTopic.LEAVING.name(),
            PeerTopic.DRAIN.name(),
            PeerTopic.CATALOGUE.name(),
            PeerTopic.MEMBER.name(),
            PeerTopic.DEMAND.name(),
            PeerTopic.LOAD.name());

    private final Map<Key, StoredEntry> entries = new HashMap<>();

    /** Adds an entry, and returns whether it is newer than the stored version. */
    boolean add(PeerEntry entry, long nowMillis, int transmissions) {
        Key key = new Key(entry.origin(), entry.topic(), entry.key());
        StoredEntry known = entries.get(key);
        if (entry.ageMillis() >= entry.keepMillis() || (known != null && !isNewer(entry, known.entry))) {
            return false;
        }
        if (known == null && entries.size() >= MAX_ENTRIES) {
            return false;
        }
        entries.put(key, new StoredEntry(entry, nowMillis, transmissions));
        return true;
    }

    private static boolean isNewer(PeerEntry entry, PeerEntry known) {
        if (entry.startedMillis() != known.startedMillis()) {
            return entry.startedMillis() > known.startedMillis();
        }
        return entry.version() > known.version();
    }

    void expire(long nowMillis) {
        entries.values().removeIf(stored -> stored.ageMillis(nowMillis) >= stored.entry.keepMillis());
    }

    /**
     * Takes entries for transmission within a budget of bytes, ordered by the priority of their topics and then by the
     * number of transmissions left.
     */
    List<PeerEntry> takeForTransmission(long nowMillis, int budgetBytes, Predicate<PeerEntry> filter) {
        List<StoredEntry> candidates = entries.values().stream()
                .filter(stored -> stored.transmissionsLeft > 0 && filter.test(stored.entry))
                .sorted(Comparator.<StoredEntry>comparingInt(stored -> priority(stored.entry.topic()))
                        .thenComparing(Comparator.<StoredEntry>comparingInt(stored -> stored.transmissionsLeft)
                                .reversed()))
                .toList();
        List<PeerEntry> taken = new ArrayList<>();
        int remainingBytes = budgetBytes;
        for (StoredEntry stored : candidates) {
            int size = PeerCodec.sizeOf(stored.entry);
            if (size <= remainingBytes) {
                remainingBytes -= size;
                stored.transmissionsLeft--;
                taken.add(stored.withCurrentAge(nowMillis));
            }
        }
        return taken;
    }

    /** Returns all entries within a budget of bytes, for a member that has just started. */
    List<PeerEntry> snapshot(long nowMillis, int budgetBytes) {
        List<PeerEntry> result = new ArrayList<>();
        int remainingBytes = budgetBytes;
        List<StoredEntry> ordered = entries.values().stream()
                .sorted(Comparator.comparingInt(stored -> priority(stored.entry.topic())))
                .toList();
        for (StoredEntry stored : ordered) {
            int size = PeerCodec.sizeOf(stored.entry);
            if (size <= remainingBytes) {
                remainingBytes -= size;
                result.add(stored.withCurrentAge(nowMillis));
            }
        }
        return result;
    }

    Optional<PeerEntry> find(String origin, PeerTopic topic, String key) {
        return Optional.ofNullable(entries.get(new Key(origin, topic.name(), key)))
                .map(stored -> stored.entry);
    }

    int size() {
        return entries.size();
    }

    private static int priority(String topic) {
        int index = TOPICS_BY_PRIORITY.indexOf(topic);
        return index < 0 ? TOPICS_BY_PRIORITY.size() : index;
    }

    /**
     * The identity of an entry; a newer version replaces the older one with the same key.
     *
     * <p>{@code equals} and {@code hashCode} are written by hand: those generated for a record are linked at their
     * first use, which costs each process some milliseconds of its first second (see {@link
     * org.dogwoodwinch.forwarding.Incarnation#equals}).
     */
    private record Key(String origin, String topic, String key) {

        @Override
        public boolean equals(Object other) {
            return other instanceof Key that
                    && origin.equals(that.origin)
                    && topic.equals(that.topic)
                    && key.equals(that.key);
        }

        @Override
        public int hashCode() {
            return 31 * (31 * origin.hashCode() + topic.hashCode()) + key.hashCode();
        }
    }

    private static final class StoredEntry {

        private final PeerEntry entry;
        private final long receivedMillis;
        private int transmissionsLeft;

        StoredEntry(PeerEntry entry, long receivedMillis, int transmissionsLeft) {
            this.entry = entry;
            this.receivedMillis = receivedMillis;
            this.transmissionsLeft = transmissionsLeft;
        }

        long ageMillis(long nowMillis) {
            return entry.ageMillis() + nowMillis - receivedMillis;
        }

        PeerEntry withCurrentAge(long nowMillis) {
            return entry.withAddedAge(nowMillis - receivedMillis);
        }
    }
}
