package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.forwarding.StreamId;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.relay.StreamOrigin;
import org.dogwoodwinch.relay.StreamTakeUp;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Streams that began while their service was known to have one version, of which nobody was told. */
class EndOfQuietTest extends StreamBeginFixture {

    private static final int STREAMS_PER_INSTANCE = 2;
    private static final long VIEWS_DIFFER_MILLIS = 400;

    /** A client comes back within a second after its connection broke. */
    private static final long CLIENT_MILLIS = 1_000;

    private void startWithStreams(int instancesCount) {
        start(instancesCount);
        listVersions(ONE);
        fleet.time.advanceMillis(LIFETIME_MILLIS);
        beginStreams();
        assertEquals(0, bytesOf(PeerTopic.STREAM_BEGIN));
    }

    private void beginStreams() {
        for (int i = 0; i < STREAMS_PER_INSTANCE * instances.size(); i++) {
            instances.get(i % instances.size()).begin(stream(i), "v1");
        }
    }

    private long bytesOf(PeerTopic topic) {
        return fleet.members.stream()
                .mapToLong(member -> member.sentBytesByTopic.getOrDefault(topic, 0L))
                .sum();
    }

    /** Lists another version, at each instance after another time. */
    private void beginRelease() {
        for (int i = 0; i < instances.size(); i++) {
            Instance instance = instances.get(i);
            fleet.time.schedule(i * VIEWS_DIFFER_MILLIS / instances.size(), () -> instance.listed = TWO);
        }
        fleet.time.advanceMillis(VIEWS_DIFFER_MILLIS);
    }

    /** Takes all streams up at the same moment, each at the instance after its own, and returns what is known of them. */
    private List<StreamOrigin> takeUpAll() {
        List<StreamOrigin> found = new ArrayList<>();
        for (int i = 0; i < STREAMS_PER_INSTANCE * instances.size(); i++) {
            instances.get((i + 1) % instances.size()).ask(Optional.of(stream(i)), found::add);
        }
        fleet.time.advanceMillis(ANSWER_MILLIS);
        assertEquals(STREAMS_PER_INSTANCE * instances.size(), found.size());
        return found;
    }

    private static long goneOnCount(List<StreamOrigin> found) {
        return found.stream()
                .filter(origin -> origin instanceof StreamOrigin.Known known
                        && known.softwareVersion().equals("v1"))
                .count();
    }

    private static void assertAllGoOn(List<StreamOrigin> found) {
        assertEquals(found.size(), goneOnCount(found));
    }

    /** Failure: a release begins, and streams of the time before are refused although the instances that know them live. */
    @ParameterizedTest
    @ValueSource(ints = {6, 30, 48, 90})
    void streamsGoOnAfterReleaseHasBegun(int instancesCount) {
        startWithStreams(instancesCount);
        beginRelease();
        fleet.time.advanceMillis(CLIENT_MILLIS);

        assertAllGoOn(takeUpAll());
        fleet.time.advanceMillis(CLIENT_MILLIS);
        assertAllGoOn(takeUpAll());
    }

    /** Failure: the streams of an instance that ends after the begin of a release are lost with it. */
    @ParameterizedTest
    @ValueSource(ints = {6, 30, 90})
    void streamsGoOnAfterInstanceThatBeganThemHasEnded(int instancesCount) {
        startWithStreams(instancesCount);
        beginRelease();
        fleet.time.advanceMillis(CLIENT_MILLIS);
        fleet.members.get(0).setIsolated(true);

        assertKnown("v1", instances.get(1).find(Optional.of(stream(0))));
        assertKnown("v1", instances.get(2).find(Optional.of(stream(instancesCount))));
    }

    /** Failure: all read a snapshot, know nothing of the past, and refuse the streams of a service with one version. */
    @ParameterizedTest
    @ValueSource(ints = {6, 30, 90})
    void streamsGoOnAfterAllObservationsBeganAnew(int instancesCount) {
        startWithStreams(instancesCount);
        instances.forEach(each -> each.streams.beginAnew());
        fleet.time.advanceMillis(CLIENT_MILLIS);

        assertAllGoOn(takeUpAll());
    }

    /** Failure: a configuration moves weights, and the streams of the time before are refused in a large fleet. */
    @ParameterizedTest
    @ValueSource(ints = {6, 30, 90})
    void streamsGoOnAfterRoutesHaveMoved(int instancesCount) {
        startWithStreams(instancesCount);
        instances.forEach(each -> each.streams.onRoutesMoved(Set.of("reader"), 2));
        fleet.time.advanceMillis(CLIENT_MILLIS);

        assertAllGoOn(takeUpAll());
    }

    /** Failure: weights move, and who takes a stream up asks for it at the service that follows from the weights now. */
    @ParameterizedTest
    @ValueSource(ints = {6, 30, 90})
    void streamsGoOnAtTheServiceThatBeganThemAfterWeightsHaveMoved(int instancesCount) {
        startWithStreams(instancesCount);
        List<String> services = List.of("reader", "writer");
        List<String> newest = List.of("writer", "reader");
        for (int i = 0; i < instancesCount; i++) {
            instances.get(i).begin(new StreamId("owner", services.get(i % 2), "w" + i), "v1");
        }
        instances.forEach(each -> each.streams.onRoutesMoved(Set.copyOf(services), 2));
        fleet.time.advanceMillis(CLIENT_MILLIS);

        List<StreamOrigin> found = new ArrayList<>();
        for (int i = 0; i < instancesCount; i++) {
            String presumed = newest.get(i % 2);
            StreamTakeUp takeUp = new StreamTakeUp(
                    "owner", Optional.of("w" + i), List.of(presumed, services.get(i % 2)), Optional.of(presumed));
            instances.get((i + 1) % instancesCount).streams.origins().find(takeUp, found::add);
        }
        fleet.time.advanceMillis(ANSWER_MILLIS);

        assertAllGoOn(found);
        List<String> foundServices = found.stream()
                .map(origin -> ((StreamOrigin.Known) origin).service())
                .sorted()
                .toList();
        assertEquals(instancesCount / 2, foundServices.indexOf("writer"));
        assertEquals(instancesCount, foundServices.size());
    }

    /** Failure: who has not read that weights moved finds no record, and takes the service of the old weights for granted. */
    @ParameterizedTest
    @ValueSource(ints = {6, 30, 90})
    void instanceThatHasNotReadThatWeightsMovedLearnsOfItFromThoseItAsks(int instancesCount) {
        startWithStreams(instancesCount);
        instances.subList(1, instancesCount).forEach(each -> each.streams.onRoutesMoved(Set.of("reader", "writer"), 2));
        StreamTakeUp lost =
                new StreamTakeUp("owner", Optional.of("lost"), List.of("reader", "writer"), Optional.of("reader"));

        List<StreamOrigin> found = new ArrayList<>();
        instances.get(0).streams.origins().find(lost, found::add);
        fleet.time.advanceMillis(ANSWER_MILLIS);

        assertEquals(List.of(new StreamOrigin.Unknown("no_record")), found);
    }

    /** Failure: an instance that is cut off from the store sees no release, and tells nobody of the streams it begins. */
    @Test
    void streamsOfInstanceThatSeesOneVersionOnlyGoOnWithinClientsTime() {
        startWithStreams(30);
        instances.subList(1, 30).forEach(each -> each.listed = TWO);
        fleet.time.advanceMillis(LIFETIME_MILLIS);
        instances.get(0).begin(stream(0), "v1");
        instances.get(17).find(Optional.of(stream(0)));
        fleet.time.advanceMillis(CLIENT_MILLIS);

        assertKnown("v1", instances.get(18).find(Optional.of(stream(0))));
    }

    /** Failure: an instance tells of its streams while it is cut off, and nobody knows them when it is back. */
    @Test
    void streamsThatBeganWhileAnInstanceWasCutOffGoOnOnceItIsBack() {
        startWithStreams(30);
        beginRelease();
        fleet.members.get(0).setIsolated(true);
        fleet.time.advanceMillis(LIFETIME_MILLIS);
        instances.get(0).begin(stream(1_000), "v1");
        fleet.time.advanceMillis(CLIENT_MILLIS);
        fleet.members.get(0).setIsolated(false);
        fleet.time.advanceMillis(3 * CLIENT_MILLIS);

        assertKnown("v1", instances.get(17).find(Optional.of(stream(1_000))));
        assertKnown("v1", instances.get(18).find(Optional.of(stream(1_000))));
    }

    /** Failure: the instances that were to keep a stream leave, and those that take their places know nothing of it. */
    @Test
    void instancesThatTakeThePlaceOfOthersAreToldToo() {
        startWithStreams(30);
        beginRelease();
        fleet.time.advanceMillis(CLIENT_MILLIS);
        List<SimulatedFleet.Member> leaving = fleet.members.subList(10, 30);
        leaving.forEach(member -> member.setIsolated(true));
        leaving.clear();
        fleet.time.advanceMillis(CLIENT_MILLIS);
        fleet.members.get(0).setIsolated(true);

        assertKnown("v1", instances.get(1).find(Optional.of(stream(0))));
    }

    /** Failure: a message is lost, and with it all streams that it tells of. */
    @Test
    void whatIsNotAcknowledgedIsToldAgain() {
        startWithStreams(30);
        long lostUntilMillis = fleet.time.monotonicMillis() + CLIENT_MILLIS;
        fleet.isLost =
                message -> isOf(PeerTopic.STREAM_BEGINS, message) && fleet.time.monotonicMillis() < lostUntilMillis;
        beginRelease();
        fleet.time.advanceMillis(2 * CLIENT_MILLIS);

        assertAllGoOn(takeUpAll());
        assertTrue(instances.get(0).beginsTold.get("kept") >= STREAMS_PER_INSTANCE);
    }

    private static boolean isOf(PeerTopic topic, Bytes message) {
        return new String(message.toByteArray(), StandardCharsets.ISO_8859_1).contains(topic.name());
    }

    /** Failure: an id that began at two versions is told once, and says there that its version is known. */
    @Test
    void idThatBeganAtTwoVersionsSaysNothingWhereItIsTold() {
        startWithStreams(30);
        instances.get(0).begin(stream(1_000), "v1");
        instances.get(0).begin(stream(1_000), "v0");
        beginRelease();
        fleet.time.advanceMillis(CLIENT_MILLIS);

        IntStream.range(1, 30)
                .forEach(i ->
                        assertTrue(instances.get(i).find(Optional.of(stream(1_000))) instanceof StreamOrigin.Unknown));
    }

    /** Load: all instances have many streams to tell of at the same moment, to the same few instances. */
    @Test
    void instanceSendsItsShareOfWhatItsReceiversTake() {
        start(90);
        listVersions(ONE);
        fleet.time.advanceMillis(LIFETIME_MILLIS);
        for (int i = 0; i < 2_000; i++) {
            instances.get(0).begin(stream(i), "v1");
        }
        listVersions(TWO);
        fleet.time.advanceMillis(700);

        // 10,000 streams a second to each of 16 receivers, from 90 instances, in a second and the round that ends it.
        int sentCount = instances.get(0).beginsTold.get("sent");
        assertTrue(
                sentCount > 500 && sentCount <= 10_000 * 16 / 90 * 1_150 / 1_000,
                sentCount + " streams in the first second");
        assertKnown("v1", instances.get(1).find(Optional.of(stream(1_999))));
        fleet.time.advanceMillis(3_000);
        assertKnown("v1", instances.get(1).find(Optional.of(stream(0))));
    }
}
