package org.dogwoodwinch.peer;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.dogwoodwinch.bytes.Bytes;

/**
 * Which instances have just been connected to and may know nothing yet, and what they are told. Used on one event loop
 * alone.
 */
final class Newcomers {

    /** An instance that read the platform's list says a word to its relay within three rounds. */
    private static final int OWED_ROUNDS = 4;

    private final Map<PeerTopic, Kept> everything = new EnumMap<>(PeerTopic.class);
    private final Map<String, Owed> owed = new HashMap<>();
    private final Map<String, Long> answeredStarts = new HashMap<>();

    /** What a newcomer is told of a topic: all that there is, asked for each time, and how long it may be of use. */
    void tell(PeerTopic topic, Supplier<Map<String, Bytes>> all, long keepMillis) {
        everything.put(Objects.requireNonNull(topic, "topic"), new Kept(all, keepMillis));
    }

    /** Hands out all that a newcomer is told; returns whether there was anything. */
    boolean forEach(Told told) {
        boolean any = false;
        for (Map.Entry<PeerTopic, Kept> topic : everything.entrySet()) {
            Kept kept = topic.getValue();
            Map<String, Bytes> all = kept.all.get();
            all.forEach((key, payload) -> told.accept(topic.getKey(), key, payload, kept.keepMillis));
            any |= !all.isEmpty();
        }
        return any;
    }

    /** An instance was connected to and is told everything now. */
    void connected(PeerMember member, long round) {
        owed.put(member.name(), new Owed(member, round));
    }

    /**
     * Tells everything once more to those that were silent since they were connected to.
     *
     * <p>Failure: all instances start at once, and the platform answers some of them. When these connected to the others
     * they knew nothing yet; those that are turned away know nobody whom they could ask.
     *
     * @param heard whether an instance was heard of late
     * @param round the round
     * @param tellAll tells an instance everything, and says whether there was anything
     */
    void payOwed(Predicate<String> heard, long round, Predicate<PeerMember> tellAll) {
        owed.values().removeIf(each -> heard.test(each.member.name()));
        owed.values()
                .removeIf(each -> round - each.sinceRound >= OWED_ROUNDS
                        && (round - each.sinceRound) % OWED_ROUNDS == 0
                        && tellAll.test(each.member));
    }

    /** Whether a message is the first of its sender's start that asks for an answer. */
    boolean isFirstWord(PeerMessage message) {
        return message.newcomer()
                && !Long.valueOf(message.startedMillis())
                        .equals(answeredStarts.put(message.sender(), message.startedMillis()));
    }

    /** Takes one thing that a newcomer is told. */
    @FunctionalInterface
    interface Told {

        /**
         * Takes it.
         *
         * @param topic what it is about
         * @param key which one
         * @param payload the content
         * @param keepMillis how long it may be of use
         */
        void accept(PeerTopic topic, String key, Bytes payload, long keepMillis);
    }

    private record Owed(PeerMember member, long sinceRound) {}

    private record Kept(Supplier<Map<String, Bytes>> all, long keepMillis) {}
}
