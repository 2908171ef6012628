package org.dogwoodwinch.peer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The items that one instance knows, and which of them still have to be passed on. Not thread-safe.
 *
 * <p>A new version is passed on a bounded number of times (a little more than the logarithm of the number of members),
 * which reaches nearly all of them; what is missed is replaced by the next version, or by what a member hears when it
 * starts. Under a budget that is too small, versions replace each other before they are passed on: news gets older
 * instead of traffic growing.
 */
final class PeerItemStore {

    private static final int MAX_ITEMS = 20_000;
    private static final List<String> TOPICS_BY_URGENCY = List.of(
            PeerTopic.QUARANTINE.name(),
            PeerTopic.LEAVING.name(),
            PeerTopic.DRAIN.name(),
            PeerTopic.CATALOGUE.name(),
            PeerTopic.MEMBER.name(),
            PeerTopic.DEMAND.name(),
            PeerTopic.LOAD.name());

    private final Map<Key, Stored> items = new HashMap<>();

    /** Takes an item; returns whether it is news. */
    boolean accept(PeerEntry entry, long nowMillis, int passes) {
        Key key = new Key(entry.origin(), entry.topic(), entry.key());
        Stored known = items.get(key);
        if (entry.ageMillis() >= entry.keepMillis() || (known != null && !isNewer(entry, known.entry))) {
            return false;
        }
        if (known == null && items.size() >= MAX_ITEMS) {
            return false;
        }
        items.put(key, new Stored(entry, nowMillis, passes));
        return true;
    }

    private static boolean isNewer(PeerEntry entry, PeerEntry known) {
        if (entry.startedMillis() != known.startedMillis()) {
            return entry.startedMillis() > known.startedMillis();
        }
        return entry.version() > known.version();
    }

    void expire(long nowMillis) {
        items.values().removeIf(stored -> stored.ageMillis(nowMillis) >= stored.entry.keepMillis());
    }

    /** Takes items to pass on, the most urgent topic and the least passed first, up to a number of bytes. */
    List<PeerEntry> take(long nowMillis, int budgetBytes, Predicate<PeerEntry> wanted) {
        List<Stored> hot = items.values().stream()
                .filter(stored -> stored.passes > 0 && wanted.test(stored.entry))
                .sorted(Comparator.<Stored>comparingInt(stored -> rank(stored.entry.topic()))
                        .thenComparing(Comparator.<Stored>comparingInt(stored -> stored.passes)
                                .reversed()))
                .toList();
        List<PeerEntry> taken = new ArrayList<>();
        int leftBytes = budgetBytes;
        for (Stored stored : hot) {
            int size = PeerCodec.sizeOf(stored.entry);
            if (size <= leftBytes) {
                leftBytes -= size;
                stored.passes--;
                taken.add(stored.aged(nowMillis));
            }
        }
        return taken;
    }

    /** Returns everything, for a member that has just started. */
    List<PeerEntry> all(long nowMillis, int budgetBytes) {
        List<PeerEntry> found = new ArrayList<>();
        int leftBytes = budgetBytes;
        List<Stored> ordered = items.values().stream()
                .sorted(Comparator.comparingInt(stored -> rank(stored.entry.topic())))
                .toList();
        for (Stored stored : ordered) {
            int size = PeerCodec.sizeOf(stored.entry);
            if (size <= leftBytes) {
                leftBytes -= size;
                found.add(stored.aged(nowMillis));
            }
        }
        return found;
    }

    Optional<PeerEntry> find(String origin, PeerTopic topic, String key) {
        return Optional.ofNullable(items.get(new Key(origin, topic.name(), key)))
                .map(stored -> stored.entry);
    }

    int size() {
        return items.size();
    }

    private static int rank(String topic) {
        int rank = TOPICS_BY_URGENCY.indexOf(topic);
        return rank < 0 ? TOPICS_BY_URGENCY.size() : rank;
    }

    /**
     * What an item replaces an older one by.
     *
     * <p>Compared by hand: the methods that a record is given link themselves at their first use, which costs each process
     * some milliseconds of its first second (see {@link org.dogwoodwinch.forwarding.Incarnation#equals}).
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

    private static final class Stored {

        private final PeerEntry entry;
        private final long receivedMillis;
        private int passes;

        Stored(PeerEntry entry, long receivedMillis, int passes) {
            this.entry = entry;
            this.receivedMillis = receivedMillis;
            this.passes = passes;
        }

        long ageMillis(long nowMillis) {
            return entry.ageMillis() + nowMillis - receivedMillis;
        }

        PeerEntry aged(long nowMillis) {
            return entry.older(nowMillis - receivedMillis);
        }
    }
}
