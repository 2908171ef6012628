package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.follow.KeyedRecord;
import org.dogwoodwinch.follow.LogPosition;
import org.dogwoodwinch.follow.StreamCoverage;
import org.dogwoodwinch.follow.StreamReading;
import org.dogwoodwinch.forwarding.CrashingSegments;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.KvCacheIndex;
import org.dogwoodwinch.forwarding.LeastLoadedChooser;
import org.dogwoodwinch.forwarding.LoadTracker;
import org.dogwoodwinch.forwarding.NoRateLimits;
import org.dogwoodwinch.forwarding.NoRests;
import org.dogwoodwinch.forwarding.PrefillRates;
import org.dogwoodwinch.forwarding.Prompt;
import org.dogwoodwinch.forwarding.PromptSegment;
import org.dogwoodwinch.forwarding.RemovalHold;
import org.dogwoodwinch.forwarding.RetryBudget;
import org.dogwoodwinch.forwarding.RetryPolicy;
import org.dogwoodwinch.forwarding.StreamStallCost;
import org.dogwoodwinch.forwarding.TargetDirectory;
import org.dogwoodwinch.forwarding.TargetHealth;
import org.dogwoodwinch.forwarding.TargetPerformance;
import org.dogwoodwinch.platform.PlatformHeaders;
import org.dogwoodwinch.queueing.RoomEstimator;
import org.dogwoodwinch.relay.CallStarts;
import org.dogwoodwinch.relay.ConnectionPolicy;
import org.dogwoodwinch.relay.ForwardingMetrics;
import org.dogwoodwinch.relay.ForwardingService;
import org.dogwoodwinch.relay.LocalConnectionFailureRecorder;
import org.dogwoodwinch.relay.LocalRateLimitRecorder;
import org.dogwoodwinch.relay.LocalStatementRecorder;
import org.dogwoodwinch.relay.LocalStreamOrigins;
import org.dogwoodwinch.relay.Neighbours;
import org.dogwoodwinch.relay.RelayDecisions;
import org.dogwoodwinch.relay.SegmentGuard;
import org.dogwoodwinch.relay.SegmentNews;
import org.dogwoodwinch.relay.SegmentRecords;
import org.dogwoodwinch.relay.TargetEntriesAge;
import org.dogwoodwinch.relay.UnresponsiveEngineControl;
import org.dogwoodwinch.request.Quarantine;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class TargetsReaderTest {

    private static final long PROMISED_MILLIS = 1_800;
    private static final long RENEWAL_MILLIS = 2_600;

    private final VirtualTimeSource time = new VirtualTimeSource(0);
    private final KvCacheIndex cacheIndex = new KvCacheIndex();
    private final TargetDirectory directory =
            new TargetDirectory(new TargetHealth(() -> 0), NoRateLimits.create(), NoRests.create());
    private final TargetsReader reader = new TargetsReader(
            directory,
            createService(),
            new ForwardingMetrics(new PrometheusRegistry()),
            time,
            this::reading,
            new RemovalHold(PROMISED_MILLIS, RENEWAL_MILLIS));
    private long offset;
    private Optional<Long> acknowledgedAfterMillis = Optional.empty();
    private long storeReturnedMillis = StreamCoverage.UNKNOWN_MILLIS;

    private ForwardingService createService() {
        LoadTracker loads = new LoadTracker();
        return new ForwardingService(
                (_target, _handler, outcome) -> outcome.failed(),
                time,
                new PlatformHeaders(),
                RandomSource.XO_RO_SHI_RO_128_PP.create(1),
                new ConnectionPolicy(1, 1, 1),
                new UnresponsiveEngineControl(),
                new RelayDecisions(
                        directory::all,
                        new LeastLoadedChooser(directory, loads, RandomSource.XO_RO_SHI_RO_128_PP.create(2)),
                        loads,
                        cacheIndex,
                        new PrefillRates(30),
                        new TargetPerformance(_service -> 1),
                        new StreamStallCost(_service -> List.of()),
                        new RetryPolicy(1, 1, 1, 1),
                        new RetryBudget(0, () -> 0, 1_000, 0),
                        Quarantine.NONE,
                        new SegmentGuard(
                                new CrashingSegments(time::monotonicMillis),
                                SegmentNews.NONE,
                                SegmentRecords.NONE,
                                "n1",
                                () -> 1,
                                new ForwardingMetrics(new PrometheusRegistry()),
                                time),
                        new TargetHealth(() -> 0),
                        NoRateLimits.create(),
                        NoRests.create(),
                        new LocalRateLimitRecorder(NoRateLimits.create()),
                        new LocalStatementRecorder(directory, NoRests.create(), _id -> {}),
                        new LocalConnectionFailureRecorder(new TargetHealth(() -> 0)),
                        CallStarts.NONE,
                        new LocalStreamOrigins(),
                        new TargetEntriesAge(() -> 0, 2_000, 1_800),
                        new RoomEstimator(directory, loads, new PrefillRates(30), RoomEstimator.UPDATE_HORIZON_MILLIS),
                        () -> 1),
                new Neighbours(
                        (_target, _handler, outcome) -> outcome.failed(), "dc", List::of, Set::of, _isolated -> {}),
                new ForwardingMetrics(new PrometheusRegistry()));
    }

    private StreamReading reading() {
        return new StreamReading(
                StreamReading.Source.STORE,
                acknowledgedAfterMillis.orElseGet(time::monotonicMillis),
                storeReturnedMillis);
    }

    /** Lets the reads fail for five seconds, in which no instance reaches the store. */
    private void loseStore() {
        long lostMillis = time.monotonicMillis();
        failOwnReads();
        acknowledgedAfterMillis = Optional.of(lostMillis);
        storeReturnedMillis = time.monotonicMillis();
    }

    private void failOwnReads() {
        reader.onDisconnected("timeout");
        time.advanceMillis(5_000);
        reader.onReconnected();
    }

    private void putEntry(String id, String state) {
        String json = "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"dc\",\"version\":\"v1\",\"slots\":6,"
                + "\"state\":\"" + state + "\",\"coldLeftMs\":0,\"seq\":4}";
        reader.onRecord(new KeyedRecord(id, offset++, Optional.of(Bytes.ofUtf8(json))));
    }

    private void putEntryWithStartTime(String id, String address, long startedMillis) {
        String json =
                "{\"service\":\"s\",\"address\":\"" + address + "\",\"zone\":\"dc\",\"version\":\"v1\",\"slots\":6,"
                        + "\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":4,\"born\":" + startedMillis + "}";
        reader.onRecord(new KeyedRecord(id, offset++, Optional.of(Bytes.ofUtf8(json))));
    }

    private void removeEntry(String id) {
        reader.onRecord(new KeyedRecord(id, offset++, Optional.empty()));
    }

    private List<String> readyTargetIds() {
        return directory.readyTargets("s").stream()
                .map(Incarnation::id)
                .sorted()
                .toList();
    }

    @Test
    void entriesAreAddedDrainedAndRemoved() {
        putEntry("a", "ready");
        putEntry("b", "ready");
        assertEquals(List.of("a", "b"), readyTargetIds());

        putEntry("a", "draining");
        assertEquals(List.of("b"), readyTargetIds());
        removeEntry("b");
        assertEquals(List.of(), readyTargetIds());
    }

    /**
     * Failure: the store is unreachable until all entries lapse, and its log then reports every target as removed,
     * although the healthy ones register again within two seconds. Calls must still be served by these, while a target
     * that does not return is excluded in time.
     */
    @Test
    void entryThatLapsedDuringOutageIsRemovedUnlessRenewed() {
        putEntry("a", "ready");
        putEntry("b", "ready");
        loseStore();
        removeEntry("a");
        removeEntry("b");
        assertEquals(List.of("a", "b"), readyTargetIds());

        time.advanceMillis(1_000);
        putEntry("a", "ready");
        time.advanceMillis(RENEWAL_MILLIS);

        assertEquals(List.of("a"), readyTargetIds());
    }

    /** Failure: the store turned only this instance away, and a target that has left gets calls for longer than promised. */
    @Test
    void removalAfterOwnFailedReadsTakesEffectAtOnceWhileOthersReachStore() {
        putEntry("a", "ready");
        failOwnReads();
        removeEntry("a");

        assertEquals(List.of(), readyTargetIds());
    }

    /** Failure: a removal that is read late is held back for as long as one that is read early. */
    @Test
    void removalAcknowledgedAfterStoreReturnedIsHeldWithinPromisedTime() {
        putEntry("a", "ready");
        loseStore();
        acknowledgedAfterMillis = Optional.of(time.monotonicMillis());
        time.advanceMillis(500);
        removeEntry("a");
        time.advanceMillis(PROMISED_MILLIS - 501);
        assertEquals(List.of("a"), readyTargetIds());

        time.advanceMillis(1);
        assertEquals(List.of(), readyTargetIds());
    }

    /** Failure: a target lapses, is renewed and lapses for good, and the second removal is lost with the first one. */
    @Test
    void entryThatLapsesTwiceIsRemovedAfterSecondLapse() {
        putEntry("a", "ready");
        loseStore();
        removeEntry("a");
        time.advanceMillis(RENEWAL_MILLIS / 2);
        putEntry("a", "ready");
        removeEntry("a");
        time.advanceMillis(RENEWAL_MILLIS);

        assertEquals(List.of(), readyTargetIds());
    }

    /** Failure: the store tells late what a target wrote before its answer, and the target gets calls again. */
    @Test
    void entryBehindAnswerKeepsLeavingTargetOut() {
        putEntryWithStartTime("a", "10.0.0.1:80", 5_000);
        directory.recordLeaving("a", 5_000);

        loseStore();
        putEntryWithStartTime("a", "10.0.0.1:80", 5_000);
        removeEntry("a");
        time.advanceMillis(RENEWAL_MILLIS);
        putEntryWithStartTime("a", "10.0.0.1:80", 5_000);
        assertEquals(List.of(), readyTargetIds());

        putEntryWithStartTime("a", "10.0.0.2:80", 6_000);
        assertEquals(List.of("a"), readyTargetIds());
    }

    /** Failure: the store came back from a copy, and the targets that it lacks are taken for gone at once. */
    @Test
    void targetThatCopyLacksIsRemovedOnlyIfItIsNotWrittenAgain() {
        putEntry("a", "ready");
        putEntry("b", "ready");
        putEntry("c", "ready");
        offset = LogPosition.of(1, 1);
        reader.onStoreCameBack();
        putEntry("c", "ready");
        reader.onSnapshotComplete(Set.of("c"), offset);
        assertEquals(List.of("a", "b", "c"), readyTargetIds());

        time.advanceMillis(RENEWAL_MILLIS / 2);
        putEntry("a", "ready");
        time.advanceMillis(RENEWAL_MILLIS);

        assertEquals(List.of("a", "c"), readyTargetIds());
    }

    /** Failure: a copy lists targets that have since left, and they get calls again. */
    @Test
    void copyRestoresNeitherLeavingNorRemovedTargets() {
        putEntry("a", "ready");
        putEntry("a", "draining");
        putEntry("b", "ready");
        removeEntry("b");
        offset = LogPosition.of(1, 1);
        reader.onStoreCameBack();
        putEntry("a", "ready");
        putEntry("b", "ready");
        reader.onSnapshotComplete(Set.of("a", "b"), offset);
        assertEquals(List.of(), readyTargetIds());

        putEntry("b", "ready");
        assertEquals(List.of("b"), readyTargetIds(), "it was written again after the copy");
    }

    /** The history was dropped, so the outage ends with a snapshot; an entry that it lacks may merely have lapsed. */
    @Test
    void snapshotAfterOutageTakesEffectAfterGracePeriod() {
        putEntry("a", "ready");
        putEntry("b", "ready");
        loseStore();
        offset = 20;
        reader.onSnapshotComplete(Set.of(), 20);
        assertEquals(List.of("a", "b"), readyTargetIds());

        putEntry("a", "ready");
        time.advanceMillis(RENEWAL_MILLIS);

        assertEquals(List.of("a"), readyTargetIds());
    }

    /** No grace period applies to a target that was draining, whatever the state of the store. */
    @Test
    void drainingTargetIsRemovedImmediately() {
        putEntry("a", "ready");
        putEntry("a", "draining");
        loseStore();
        removeEntry("a");

        assertTrue(directory.find("a").isEmpty());
    }

    @Test
    void lapseWithoutOutageTakesEffectImmediately() {
        putEntry("a", "ready");
        removeEntry("a");

        assertEquals(List.of(), readyTargetIds());
    }

    @Test
    void clockJumpIsReportedOnce() {
        List<String> jumps = new ArrayList<>();
        new ClockWatch(time, 500, 700, () -> jumps.add("jump")).start();
        time.advanceMillis(5_000);
        assertEquals(List.of(), jumps);

        time.jumpWallMillis(4_000);
        time.advanceMillis(5_000);

        assertEquals(List.of("jump"), jumps);
    }

    /**
     * Failure: an engine crashed and restarted under its id with an empty cache, calls with a long segment were still
     * routed to it as if the segment were cached, and their callers waited for the whole prefill.
     */
    @Test
    void cacheStateIsClearedWhenEngineRestartsUnderSameId() {
        Prompt prompt = new Prompt("m", 900, 9, List.of(new PromptSegment("p", 900)));
        putEntryWithStartTime("a", "10.0.0.1:80", 1_000);
        cacheIndex.setCachedTokens("a", "p", 900);
        putEntryWithStartTime("a", "10.0.0.1:80", 1_000);
        assertEquals(900, cacheIndex.cachedPrefixTokens("a", prompt));

        putEntryWithStartTime("a", "10.0.0.1:80", 2_000);
        assertEquals(0, cacheIndex.cachedPrefixTokens("a", prompt));
    }

    /**
     * Failure: a delayed entry of the earlier incarnation was written after the new one, and calls went to an address
     * that was unused or belonged to another engine.
     */
    @Test
    void delayedEntryOfEarlierIncarnationIsIgnored() {
        putEntryWithStartTime("a", "10.0.0.2:80", 2_000);
        putEntryWithStartTime("a", "10.0.0.1:80", 1_000);
        assertEquals("10.0.0.2", directory.find("a").orElseThrow().host());
    }

    /** An invalid start time comes from a faulty writer, so its entry must not yield a target. */
    @Test
    void entryWithInvalidStartTimeIsIgnored() {
        putEntryWithStartTime("a", "10.0.0.1:80", -5);
        assertEquals(List.of(), readyTargetIds());
    }
}
