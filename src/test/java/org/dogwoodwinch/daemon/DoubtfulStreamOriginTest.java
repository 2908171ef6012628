package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.dogwoodwinch.forwarding.StreamId;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.relay.StreamOrigin;
import org.junit.jupiter.api.Test;

/** Streams whose version nobody can know, although one version seems to be the only one. */
class DoubtfulStreamOriginTest extends StreamBeginFixture {

    /** A question that nobody answers ends a millisecond later. */
    private static final long JUST_BEFORE_END_MILLIS = 149;

    /** A question takes as long as a round, so its end would otherwise fall on one, which observes the versions too. */
    private static final long BETWEEN_ROUNDS_MILLIS = 50;

    /** Failure: an instance whose view is late takes the old version for the only one, though others see the release. */
    @Test
    void wordOfOthersThatSeeAnotherVersionLeavesNoOnlyVersion() {
        start(6);
        listVersions(ONE);
        for (int i = 0; i < 5; i++) {
            instances.get(i).listed = TWO;
        }
        fleet.time.advanceMillis(300);
        StreamId lost = streamOfWhichOnlyAreTold(instances.subList(1, 4));
        instances.get(0).begin(lost, "v2");
        fleet.time.advanceMillis(5);
        instances.subList(0, 4).forEach(Instance::restart);

        assertInstanceOf(StreamOrigin.Unknown.class, instances.get(5).find(Optional.of(lost)));
        instances.get(5).begin(stream(2), "v1");
        assertTrue(fleet.members.get(5).sentBytesByTopic.containsKey(PeerTopic.STREAM_BEGIN), "begins are not told");
    }

    /** Failure: a release is seen while the others are asked, and the version before it is answered. */
    @Test
    void versionThatIsListedWhileTheOthersAreAskedLeavesNoOnlyVersion() {
        start(6);
        listVersions(ONE);
        fleet.members.subList(0, 5).forEach(member -> member.setIsolated(true));
        fleet.time.advanceMillis(BETWEEN_ROUNDS_MILLIS);
        fleet.time.schedule(JUST_BEFORE_END_MILLIS, () -> instances.get(5).listed = TWO);

        assertInstanceOf(StreamOrigin.Unknown.class, instances.get(5).find(Optional.of(stream(1))));
    }

    /** Failure: a configuration lowers the time-out, and streams that began before it go on at the next version. */
    @Test
    void streamOutlivesTheConfigurationUnderWhichItBegan() {
        start(6);
        listVersions(TWO);
        instances.get(0).begin(stream(1), "v1");
        listVersions(Set.of("v2"));
        instances.forEach(each -> each.timeoutMillis = 300);
        fleet.time.advanceMillis(TIMEOUT_MILLIS - 600);

        for (Instance instance : instances) {
            assertKnown("v1", instance.find(Optional.of(stream(1))));
        }
    }

    /** Failure: a caller has more time than its route, and its stream is forgotten where it began. */
    @Test
    void beginIsKnownWhereItWasMadeForAsLongAsItsCallerMayComeBack() {
        start(6);
        listVersions(TWO);
        OptionalLong callerMillis = OptionalLong.of(3 * LIFETIME_MILLIS);
        instances.get(0).streams.origins().recordBegin(stream(1), "v1", callerMillis);
        listVersions(Set.of("v2"));
        fleet.time.advanceMillis(2 * LIFETIME_MILLIS);

        assertKnown("v1", instances.get(0).find(Optional.of(stream(1))));
        assertKnown("v1", instances.get(1).find(Optional.of(stream(1))));
    }

    /** Failure: the first stream begins after two versions were listed for long, and its time-out is never noted. */
    @Test
    void timeoutIsNotedWhileServiceHasSeveralVersions() {
        start(6);
        listVersions(TWO);
        fleet.time.advanceMillis(2 * LIFETIME_MILLIS);
        instances.get(0).begin(stream(1), "v1");
        instances.forEach(each -> each.timeoutMillis = 300);
        fleet.time.advanceMillis(TIMEOUT_MILLIS - 600);

        assertKnown("v1", instances.get(0).find(Optional.of(stream(1))));
    }

    /** Failure: a caller names no stream, so nobody is asked, and a late view alone decides. */
    @Test
    void othersAreAskedAlsoForStreamWithoutUsableId() {
        start(6);
        listVersions(ONE);
        instances.subList(0, 5).forEach(each -> each.listed = TWO);
        fleet.time.advanceMillis(300);

        assertInstanceOf(StreamOrigin.Unknown.class, instances.get(5).find(Optional.empty()));
        StreamId tooLong = new StreamId("owner", "reader", "a".repeat(129));
        assertInstanceOf(StreamOrigin.Unknown.class, instances.get(5).find(Optional.of(tooLong)));
    }

    /** Failure: instances that pass a release's time to and fro prolong it, and refuse streams as long as they are asked. */
    @Test
    void timeOfReleaseIsNotProlongedByQuestions() {
        start(6);
        listVersions(TWO);
        listVersions(Set.of("v2"));
        long endMillis =
                fleet.time.monotonicMillis() + StreamComponents.REMOVED_SERVES_MILLIS + LIFETIME_MILLIS + 1_000;
        for (int i = 0; fleet.time.monotonicMillis() < endMillis; i++) {
            instances.get(i % 6).ask(Optional.of(stream(i)), _origin -> {});
            fleet.time.advanceMillis(20);
        }

        assertKnown("v2", instances.get(3).find(Optional.of(stream(1_000_000))));
    }

    /** Failure: all lose power after a configuration has lowered the time-out, and know only the lower one afterwards. */
    @Test
    void processThatStartsDoesNotTakeTheTimeoutInForceForThatOfStreamsBefore() {
        start(6);
        listVersions(TWO);
        instances.get(0).begin(stream(1), "v1");
        listVersions(Set.of("v2"));
        instances.forEach(each -> {
            each.timeoutMillis = 300;
            each.restart();
        });
        fleet.time.advanceMillis(TIMEOUT_MILLIS - 300);

        assertInstanceOf(StreamOrigin.Unknown.class, instances.get(3).find(Optional.of(stream(1))));
    }

    /** Failure: a late answer to a question of an ended process is taken for one about another stream. */
    @Test
    void answerToAnEndedProcessIsNotTakenForOneToItsSuccessor() {
        start(6);
        listVersions(TWO);
        instances.get(1).begin(stream(1), "v1");
        fleet.time.advanceMillis(5);
        Instance asker = instances.get(0);
        instances.stream().filter(each -> each != instances.get(1)).forEach(Instance::restart);
        fleet.time.advanceMillis(1_000);
        fleet.members.get(1).setPaused(true);
        asker.find(Optional.of(stream(1)));
        asker.restart();
        fleet.time.advanceMillis(1_000);

        AtomicReference<StreamOrigin> found = new AtomicReference<>();
        asker.ask(Optional.of(stream(2)), found::set);
        fleet.members.get(1).setPaused(false);
        fleet.time.advanceMillis(ANSWER_MILLIS);

        assertInstanceOf(StreamOrigin.Unknown.class, found.get());
    }

    /** Failure: nobody answers an instance that has read nothing for long, and it takes its old view for the present. */
    @Test
    void oldViewWithoutAnyAnswerLeavesNoOnlyVersion() {
        start(3);
        listVersions(ONE);
        fleet.members.subList(0, 2).forEach(member -> member.setIsolated(true));

        assertKnown("v1", instances.get(2).find(Optional.of(stream(1))));
        instances.get(2).viewIsOld = true;
        assertEquals(
                Optional.of(new StreamOrigin.Unknown("old_view")),
                Optional.of(instances.get(2).find(Optional.of(stream(2)))));
    }

    /** Failure: one other instance answers, and the streams are refused because the store is away. */
    @Test
    void oldViewThatAnotherInstanceSharesIsEnough() {
        start(3);
        listVersions(ONE);
        instances.forEach(each -> each.viewIsOld = true);
        fleet.members.get(0).setIsolated(true);

        assertKnown("v1", instances.get(2).find(Optional.of(stream(1))));
    }

    /** Failure: a route leads to another service now, whose only version is taken for the one that began the stream. */
    @Test
    void streamThatBeganAtAnotherServiceIsUnknownWhereverItIsTakenUp() {
        start(6);
        listVersions(ONE);
        instances.get(0).begin(new StreamId("owner", "before", "a1"), "v1");
        fleet.time.advanceMillis(5);

        for (Instance instance : instances) {
            assertInstanceOf(StreamOrigin.Unknown.class, instance.find(Optional.of(stream(1))));
        }
    }

    /** Failure: one id began at two versions, and an instance that knows that answers as if it knew nothing. */
    @Test
    void idThatBeganAtTwoVersionsIsUnknownWhereverItIsTakenUp() {
        start(2);
        listVersions(ONE);
        instances.get(0).begin(stream(1), "v1");
        instances.get(0).begin(stream(1), "v2");

        assertInstanceOf(StreamOrigin.Unknown.class, instances.get(1).find(Optional.of(stream(1))));
    }
}
