package org.dogwoodwinch.forwarding;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses the instances that keep the begin of a stream for the others, so that a caller can take the stream up at any
 * instance although the one that began it has ended. All instances choose alike without a word.
 *
 * <p>Load: the streams of one service are kept by few instances, and each stream by two of them. The connections of an
 * instance for this purpose, and the messages for one stream, therefore do not grow with the fleet.
 */
public final class StreamRecorders {

    /** Instances that keep the streams of one service. */
    private static final int RECORDERS_PER_SERVICE = 16;

    /** Instances that are told of one stream, beside the one that began it; one of them may end too. */
    private static final int TOLD_COUNT = 2;

    /**
     * Instances that are asked, which is everyone in a small fleet. Those that began a stream keep it also while nobody is
     * told, and views of the members may differ.
     */
    private static final int ASKED_COUNT = 8;

    private StreamRecorders() {}

    /**
     * Returns the instances that keep the streams of a service.
     *
     * @param service the service, not null
     * @param names the names of all instances, not null
     * @return the names, also this instance's if it is one of them
     */
    public static List<String> ofService(String service, Collection<String> names) {
        return highest(service, names, RECORDERS_PER_SERVICE);
    }

    /**
     * Returns the instances that are told of the begin of a stream.
     *
     * @param requestId the request id of the attempt that began it, not null
     * @param recorders the instances that keep the streams of its service, not null
     * @param ownName the name of this instance, not null
     * @return the names, without this instance
     */
    public static List<String> toldOf(String requestId, List<String> recorders, String ownName) {
        return without(ownName, highest(requestId, recorders, TOLD_COUNT + 1), TOLD_COUNT);
    }

    /**
     * Returns the instances that are told of the begin of a stream.
     *
     * @param stream the stream, not null
     * @param names the names of all instances, not null
     * @param ownName the name of this instance, not null
     * @return the names, without this instance
     */
    public static List<String> toldOf(StreamId stream, Collection<String> names, String ownName) {
        return toldOf(stream.requestId(), ofService(stream.service(), names), ownName);
    }

    /**
     * Returns the instances that are asked for the begin of a stream.
     *
     * @param stream the stream, not null
     * @param names the names of all instances, not null
     * @param ownName the name of this instance, not null
     * @return the names, without this instance
     */
    public static List<String> askedFor(StreamId stream, Collection<String> names, String ownName) {
        List<String> recorders = ofService(stream.service(), names);
        return without(ownName, highest(stream.requestId(), recorders, ASKED_COUNT + 1), ASKED_COUNT);
    }

    /**
     * Returns the instances that an instance asks for what it has not observed itself.
     *
     * @param ownName the name of the instance, not null
     * @param otherNames the names of the other instances, not null
     * @return the names; those of all others in a small fleet
     */
    public static List<String> witnessesFor(String ownName, Collection<String> otherNames) {
        return highest(ownName, otherNames, ASKED_COUNT);
    }

    private static List<String> without(String ownName, List<String> ranked, int count) {
        return ranked.stream()
                .filter(name -> !name.equals(ownName))
                .limit(count)
                .toList();
    }

    private static List<String> highest(String key, Collection<String> names, int count) {
        return names.stream()
                .map(name -> new Ranked(name, RendezvousHash.score(key, name)))
                .sorted(Comparator.comparingDouble(Ranked::score).reversed().thenComparing(Ranked::name))
                .limit(count)
                .map(Ranked::name)
                .toList();
    }

    private record Ranked(String name, double score) {}
}
