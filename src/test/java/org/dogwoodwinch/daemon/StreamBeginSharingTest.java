package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.Set;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.relay.StreamOrigin;
import org.junit.jupiter.api.Test;

class StreamBeginSharingTest extends StreamBeginFixture {

    /** Failure: a caller comes back at another instance, which does not know its stream. */
    @Test
    void everyInstanceFindsTheVersionOfEveryStream() {
        for (int count : new int[] {2, 6, 48}) {
            instances.clear();
            start(count);
            listVersions(TWO);
            for (int i = 0; i < 3 * count; i++) {
                String version = i % 2 == 0 ? "v1" : "v2";
                instances.get(i % count).begin(stream(i), version);
                fleet.time.advanceMillis(5);
                assertKnown(version, instances.get((i * 7 + 1) % count).find(Optional.of(stream(i))));
            }
        }
    }

    /** Failure: the instance that began a stream ends, and with it all that is known of the stream. */
    @Test
    void versionIsFoundAfterTheInstanceThatBeganTheStreamEnded() {
        start(6);
        listVersions(TWO);
        for (int i = 0; i < 30; i++) {
            instances.get(0).begin(stream(i), i % 2 == 0 ? "v1" : "v2");
        }
        fleet.time.advanceMillis(5);
        fleet.members.get(0).setIsolated(true);

        for (int i = 0; i < 30; i++) {
            assertKnown(i % 2 == 0 ? "v1" : "v2", instances.get(1 + i % 5).find(Optional.of(stream(i))));
        }
    }

    /** Failure: a stream whose begin was lost with the instances that knew it goes on at any version. */
    @Test
    void streamIsUnknownWhereAllThatKnewItEnded() {
        start(6);
        listVersions(TWO);
        fleet.time.advanceMillis(LIFETIME_MILLIS);
        instances.get(0).begin(stream(1), "v2");
        fleet.time.advanceMillis(5);
        instances.forEach(Instance::restart);
        fleet.time.advanceMillis(3_000);

        for (Instance instance : instances) {
            assertInstanceOf(StreamOrigin.Unknown.class, instance.find(Optional.of(stream(1))));
        }
    }

    /** Failure: all instances lose power as a release ends, and streams of the version before it go on at the new one. */
    @Test
    void streamIsUnknownWhereNoInstanceHasObservedTheVersionsForItsLifetime() {
        start(6);
        listVersions(TWO);
        instances.get(0).begin(stream(1), "v1");
        listVersions(Set.of("v2"));
        instances.forEach(Instance::restart);
        fleet.time.advanceMillis(2_000);

        for (Instance instance : instances) {
            assertInstanceOf(StreamOrigin.Unknown.class, instance.find(Optional.of(stream(1))));
            assertInstanceOf(StreamOrigin.Unknown.class, instance.find(Optional.empty()));
        }
        fleet.time.advanceMillis(FIRST_LIFETIME_MILLIS);
        assertKnown("v2", instances.get(3).find(Optional.empty()));
    }

    /** Failure: instances that have just started refuse the streams of a service that has had one version for long. */
    @Test
    void rollingRestartInQuietTimesCostsNoStream() {
        for (int count : new int[] {2, 6, 48}) {
            instances.clear();
            start(count);
            listVersions(ONE);
            for (int i = 0; i < count; i++) {
                instances.get(i).begin(stream(i), "v1");
                instances.get(i).restart();
                fleet.time.advanceMillis(1_000);

                assertKnown("v1", instances.get(i).find(Optional.of(stream(i))));
                assertKnown("v1", instances.get((i + 1) % count).find(Optional.of(stream(i))));
            }
        }
    }

    /** Failure: most instances lose power, and streams are refused although another has observed their versions. */
    @Test
    void wordOfTheInstanceThatKeptPowerIsEnough() {
        start(3);
        listVersions(ONE);
        instances.get(0).begin(stream(1), "v1");
        instances.get(1).begin(stream(2), "v1");
        instances.subList(0, 2).forEach(Instance::restart);
        fleet.time.advanceMillis(500);

        for (Instance instance : instances) {
            assertKnown("v1", instance.find(Optional.of(stream(1))));
            assertKnown("v1", instance.find(Optional.of(stream(2))));
        }
    }

    /** Failure: streams that begin at an instance that does not know the past are lost with it. */
    @Test
    void instanceThatDoesNotKnowThePastTellsItsBegins() {
        start(6);
        listVersions(ONE);
        instances.forEach(Instance::restart);
        fleet.time.advanceMillis(2_000);
        instances.get(0).begin(stream(1), "v1");
        fleet.time.advanceMillis(5);
        fleet.members.get(0).setIsolated(true);

        assertKnown("v1", instances.get(3).find(Optional.of(stream(1))));
    }

    /** Failure: an instance that has just started takes the word of one that has not seen the release yet. */
    @Test
    void wordOfAnInstanceWithAnotherViewIsNotTaken() {
        start(6);
        listVersions(ONE);
        instances.get(0).listed = Set.of("v2");
        instances.get(0).restart();
        fleet.time.advanceMillis(2_000);

        assertInstanceOf(StreamOrigin.Unknown.class, instances.get(0).find(Optional.of(stream(1))));
    }

    /** Load: a fleet that has lost power as a whole asks for a past that nobody knows. */
    @Test
    void questionsForThePastBecomeRareAndEnd() {
        start(48);
        listVersions(ONE);
        instances.forEach(Instance::restart);
        fleet.members.get(0).sentBytesByTopic.clear();
        fleet.time.advanceMillis(LIFETIME_MILLIS + 1_000);
        long askedBytes = fleet.members.get(0).sentBytesByTopic.get(PeerTopic.VERSIONS_QUESTION);
        assertTrue(askedBytes <= 6 * 8 * 120, askedBytes + " bytes");
        fleet.time.advanceMillis(FIRST_LIFETIME_MILLIS - LIFETIME_MILLIS);
        askedBytes = fleet.members.get(0).sentBytesByTopic.get(PeerTopic.VERSIONS_QUESTION);
        fleet.time.advanceMillis(60_000);

        assertEquals(askedBytes, fleet.members.get(0).sentBytesByTopic.get(PeerTopic.VERSIONS_QUESTION));
    }

    /** Failure: an instance that is cut off from the others holds its callers until their time is over. */
    @Test
    void questionWithoutAnswerEndsInTime() {
        start(6);
        listVersions(TWO);
        fleet.time.advanceMillis(LIFETIME_MILLIS);
        fleet.members.get(0).setIsolated(true);

        assertInstanceOf(StreamOrigin.Unknown.class, instances.get(0).find(Optional.of(stream(1))));
    }

    /** Load: all targets have one version, and tens of thousands of streams begin each second. */
    @Test
    void nothingIsToldWhileThereIsOneVersion() {
        start(6);
        listVersions(ONE);
        for (int i = 0; i < 1_000; i++) {
            instances.get(0).begin(stream(i), "v1");
        }

        assertEquals(null, fleet.members.get(0).sentBytesByTopic.get(PeerTopic.STREAM_BEGIN));
        assertKnown("v1", instances.get(1).find(Optional.of(stream(5))));
        assertKnown("v1", instances.get(1).find(Optional.empty()));
    }

    /** Load: during a release at a large fleet, each stream costs two messages, and each instance few connections. */
    @Test
    void streamCostsTwoShortMessagesWhileThereAreSeveralVersions() {
        start(90);
        listVersions(TWO);
        for (int i = 0; i < 100; i++) {
            instances.get(0).begin(stream(i), "v1");
        }

        long bytesPerStream = fleet.members.get(0).sentBytesByTopic.get(PeerTopic.STREAM_BEGIN) / 100;
        assertTrue(bytesPerStream <= 2 * 120, bytesPerStream + " bytes per stream");
    }

    /** Failure: a release begins, and streams of the moment before go on at the new version, or are all refused. */
    @Test
    void streamOfTheMomentBeforeReleaseIsKnownWhereItBegan() {
        start(6);
        listVersions(ONE);
        instances.get(0).begin(stream(1), "v1");
        instances.get(5).begin(stream(2), "v1");
        fleet.time.advanceMillis(LIFETIME_MILLIS / 2);
        fleet.members.get(5).setIsolated(true);
        listVersions(TWO);

        assertKnown("v1", instances.get(3).find(Optional.of(stream(1))));
        assertInstanceOf(StreamOrigin.Unknown.class, instances.get(3).find(Optional.of(stream(2))));
        assertInstanceOf(StreamOrigin.Unknown.class, instances.get(3).find(Optional.empty()));
    }

    /** Failure: an instance that is cut off from the store and from all others takes the version it knows for the only one. */
    @Test
    void instanceThatHearsNothingOfOthersKnowsNoOnlyVersion() {
        start(6);
        listVersions(ONE);
        fleet.members.get(0).setIsolated(true);
        fleet.time.advanceMillis(5_000);

        assertInstanceOf(StreamOrigin.Unknown.class, instances.get(0).find(Optional.of(stream(1))));
    }

    /** Failure: an instance hears late of a release, and takes the old version for that of a stream of the new one. */
    @Test
    void instanceThatKnowsOneVersionAsksTheOthersToo() {
        start(6);
        listVersions(ONE);
        instances.get(0).listed = TWO;
        instances.get(0).begin(stream(1), "v2");
        fleet.time.advanceMillis(5);

        assertKnown("v2", instances.get(4).find(Optional.of(stream(1))));
    }
}
