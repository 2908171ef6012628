package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.forwarding.StreamId;
import org.dogwoodwinch.forwarding.StreamRecorders;
import org.dogwoodwinch.relay.StreamOrigin;
import org.dogwoodwinch.relay.StreamTakeUp;

/** A simulated fleet whose instances share the begins of streams and what they have observed of versions. */
abstract class StreamBeginFixture {

    static final long TIMEOUT_MILLIS = 5_000;

    /** The time-out and that by which the views of two instances may differ. */
    static final long LIFETIME_MILLIS = TIMEOUT_MILLIS + 3_000;

    /** How long a process that has just started takes the life of a stream to be. */
    static final long FIRST_LIFETIME_MILLIS = StreamComponents.UNKNOWN_TIMEOUT_MILLIS + 3_000;

    static final long ANSWER_MILLIS = 200;
    static final Set<String> ONE = Set.of("v1");
    static final Set<String> TWO = Set.of("v1", "v2");

    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7);
    SimulatedFleet fleet;
    final List<Instance> instances = new ArrayList<>();

    void start(int count) {
        fleet = new SimulatedFleet(count, 3, 7);
        fleet.members.forEach(member -> instances.add(new Instance(member)));
        fleet.time.advanceMillis(FIRST_LIFETIME_MILLIS + 3_000);
    }

    void listVersions(Set<String> versions) {
        instances.forEach(each -> each.listed = versions);
        fleet.time.advanceMillis(300);
    }

    static StreamId stream(int number) {
        return new StreamId("owner", "reader", "a" + number);
    }

    /** Returns the take-up of a stream whose route leads to one service. */
    static StreamTakeUp takeUpAt(String service, Optional<StreamId> stream) {
        return new StreamTakeUp(
                stream.map(StreamId::owner).orElse(""),
                stream.map(StreamId::requestId),
                List.of(service),
                Optional.of(service));
    }

    static void assertKnown(String version, StreamOrigin origin) {
        assertEquals(version, assertInstanceOf(StreamOrigin.Known.class, origin).softwareVersion());
    }

    StreamId streamOfWhichOnlyAreTold(List<Instance> told) {
        List<String> names = told.stream().map(each -> each.member.name).toList();
        List<String> allNames =
                fleet.members.stream().map(member -> member.name).toList();
        return IntStream.iterate(1, number -> number + 1)
                .mapToObj(StreamBeginFixture::stream)
                .filter(each -> names.containsAll(StreamRecorders.toldOf(each, allNames, allNames.get(0))))
                .findFirst()
                .orElseThrow();
    }

    final class Instance {
        final SimulatedFleet.Member member;
        Set<String> listed = ONE;
        long timeoutMillis = TIMEOUT_MILLIS;
        boolean viewIsOld;
        final Map<String, Integer> beginsTold = new HashMap<>();
        StreamComponents streams;

        Instance(SimulatedFleet.Member member) {
            this.member = member;
            begin();
        }

        private void begin() {
            streams = new StreamComponents(
                    member.name,
                    member.exchange,
                    this::otherNames,
                    _service -> listed,
                    () -> timeoutMillis,
                    () -> viewIsOld,
                    (outcome, count) -> beginsTold.merge(outcome, count, Integer::sum),
                    random,
                    fleet.time);
            streams.start(() -> Set.of("reader"));
        }

        void begin(StreamId stream, String version) {
            streams.origins().recordBegin(stream, version, OptionalLong.empty());
        }

        private List<String> otherNames() {
            return fleet.members.stream()
                    .filter(other -> other != member)
                    .map(other -> other.name)
                    .toList();
        }

        void restart() {
            member.restart();
            begin();
        }

        /** Asks what is known of a stream, which takes its time. */
        void ask(Optional<StreamId> stream, Consumer<StreamOrigin> onFound) {
            streams.origins().find(takeUpAt("reader", stream), onFound);
        }

        StreamOrigin find(Optional<StreamId> stream) {
            AtomicReference<StreamOrigin> found = new AtomicReference<>();
            ask(stream, found::set);
            fleet.time.advanceMillis(ANSWER_MILLIS);
            assertTrue(found.get() != null, "no answer in time");
            return found.get();
        }
    }
}
