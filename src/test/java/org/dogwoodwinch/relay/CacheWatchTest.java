package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.KvCacheIndex;
import org.dogwoodwinch.forwarding.Prompt;
import org.dogwoodwinch.forwarding.PromptSegment;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.relay.CacheChanges.CacheChange;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class CacheWatchTest {

    private static final Incarnation ENGINE =
            new Incarnation("e1", "s", "10.0.0.1", 80, "dc", 64, false, Stage.DECODE, 1);
    private static final Prompt PROMPT = new Prompt("m", 900, 9, List.of(new PromptSegment("a", 900)));

    private final VirtualTimeSource time = new VirtualTimeSource(0);
    private final KvCacheIndex cacheIndex = new KvCacheIndex();
    private final FakeEngineControl engineControl = new FakeEngineControl();
    private final RecordingCacheListener listener = new RecordingCacheListener();
    private List<Incarnation> engines = List.of(ENGINE);
    private boolean isWatchedHere = true;

    private CacheWatch startWatch() {
        CacheWatch watch =
                new CacheWatch(engineControl, cacheIndex, () -> engines, _id -> isWatchedHere, listener, time, 250);
        watch.start();
        return watch;
    }

    @Test
    void changesAreAppliedInOrderAndPollingContinuesFromTheLastNumber() {
        startWatch();
        engineControl.completeChanges(
                new CacheChanges("x", 7, false, List.of(new CacheChange("a", 900), new CacheChange("a", 300))));

        assertEquals(300, cacheIndex.cachedPrefixTokens("e1", PROMPT));
        time.advanceMillis(250);
        assertEquals(List.of(0L, 7L), engineControl.requestedSinceNumbers);
        assertEquals(0, engineControl.listRequests.size());
    }

    /**
     * The request in progress uses a number of the previous start: its response is ignored, and polling restarts at 0
     * with an empty index.
     */
    @Test
    void restartedEngineIsPolledFromNumberZero() {
        startWatch();
        engineControl.completeChanges(new CacheChanges("x", 7, false, List.of(new CacheChange("a", 900))));
        time.advanceMillis(250);
        engines = List.of(new Incarnation("e1", "s", "10.0.0.1", 80, "dc", 64, false, Stage.DECODE, 1, 2_000));
        time.advanceMillis(250);

        assertEquals(0, cacheIndex.cachedPrefixTokens("e1", PROMPT));
        assertEquals(List.of(0L, 7L, 0L), engineControl.requestedSinceNumbers);
    }

    /**
     * Failure: after this instance started, segments whose changes the engine no longer held were missing from the
     * index, so the prompt was prefilled a second time on another engine. The full list replaces the missing changes.
     */
    @Test
    void missingChangesAreReplacedByFullList() {
        startWatch();
        engineControl.completeChanges(new CacheChanges("x", 90, true, List.of()));
        engineControl
                .listRequests
                .get(0)
                .complete(Optional.of(new CacheSnapshot("x", 95, List.of(new CacheChange("a", 900)))));

        assertEquals(900, cacheIndex.cachedPrefixTokens("e1", PROMPT));
        time.advanceMillis(250);
        assertEquals(List.of(0L, 95L), engineControl.requestedSinceNumbers);
    }

    /** The engine dropped the segment in a change that it no longer reports. */
    @Test
    void segmentsAbsentFromFullListAreRemoved() {
        startWatch();
        engineControl.completeChanges(new CacheChanges("x", 5, false, List.of(new CacheChange("a", 900))));
        time.advanceMillis(250);
        engineControl.completeChanges(new CacheChanges("x", 90, true, List.of()));
        engineControl.listRequests.get(0).complete(Optional.of(new CacheSnapshot("x", 95, List.of())));

        assertEquals(0, cacheIndex.cachedPrefixTokens("e1", PROMPT));
    }

    /** Full lists are expensive for an engine: while gaps recur, only changes are requested until the pause is over. */
    @Test
    void repeatedGapsDoNotRepeatFullListRequestWithinPause() {
        startWatch();
        for (int i = 0; i < 10; i++) {
            engineControl.completeChanges(new CacheChanges("x", i, true, List.of()));
            if (engineControl.listRequests.size() == 1) {
                engineControl.listRequests.get(0).complete(Optional.empty());
            }
            time.advanceMillis(250);
        }

        assertEquals(1, engineControl.listRequests.size());
        assertEquals(11, engineControl.requestedSinceNumbers.size());
        time.advanceMillis(3_000);
        engineControl.completeChanges(new CacheChanges("x", 11, true, List.of()));
        assertEquals(2, engineControl.listRequests.size());
    }

    @Test
    void changedEngineEpochClearsCachedSegments() {
        startWatch();
        engineControl.completeChanges(new CacheChanges("x", 5, false, List.of(new CacheChange("a", 900))));
        time.advanceMillis(250);
        engineControl.completeChanges(new CacheChanges("y", 0, false, List.of()));

        assertEquals(0, cacheIndex.cachedPrefixTokens("e1", PROMPT));
    }

    @Test
    void removedEngineIsClearedFromIndex() {
        startWatch();
        engineControl.completeChanges(new CacheChanges("x", 5, false, List.of(new CacheChange("a", 900))));
        engines = List.of();
        time.advanceMillis(250);

        assertEquals(0, cacheIndex.segmentsCount());
    }

    /**
     * The other instance sends the changes from then on: the index is kept, a late response is ignored, and polling
     * later resumes from number 0.
     */
    @Test
    void engineWatchedByAnotherInstanceIsNotPolled() {
        startWatch();
        engineControl.completeChanges(new CacheChanges("x", 5, false, List.of(new CacheChange("a", 900))));
        time.advanceMillis(250);
        isWatchedHere = false;
        time.advanceMillis(1_000);
        engineControl.completeChanges(new CacheChanges("x", 6, false, List.of(new CacheChange("a", 0))));

        assertEquals(List.of(0L, 5L), engineControl.requestedSinceNumbers);
        assertEquals(900, cacheIndex.cachedPrefixTokens("e1", PROMPT));
        assertEquals(List.of("a=900", "unwatched e1"), listener.events);
        isWatchedHere = true;
        time.advanceMillis(250);
        assertEquals(0L, engineControl.requestedSinceNumbers.get(2));
    }

    /**
     * Failure: an engine answers only a few such requests at once and refuses the rest. Polled each round by each of 72
     * instances, it refused some thousand requests a second. The pause doubles up to four seconds.
     */
    @Test
    void refusedRequestsAreRetriedWithBackoff() {
        startWatch();
        for (int i = 0; i < 400; i++) {
            engineControl.refuseChanges();
            time.advanceMillis(250);
        }
        assertTrue(engineControl.requestedSinceNumbers.size() <= 31, engineControl.requestedSinceNumbers::toString);
        time.advanceMillis(4_000);
        engineControl.completeChanges(new CacheChanges("x", 5, false, List.of()));
        int requestCount = engineControl.requestedSinceNumbers.size();
        time.advanceMillis(250);
        assertEquals(requestCount + 1, engineControl.requestedSinceNumbers.size());
    }

    private static final class RecordingCacheListener implements CacheListener {

        private final List<String> events = new ArrayList<>();

        @Override
        public void onSegmentChange(String _engineId, String partId, int cachedTokens) {
            events.add(partId + "=" + cachedTokens);
        }

        @Override
        public void onReset(String engineId) {
            events.add("listed " + engineId);
        }

        @Override
        public void onPollingStopped(String engineId) {
            events.add("unwatched " + engineId);
        }
    }

    private static final class FakeEngineControl extends UnresponsiveEngineControl {

        private final List<Long> requestedSinceNumbers = new ArrayList<>();
        private final List<CompletableFuture<Optional<CacheSnapshot>>> listRequests = new ArrayList<>();
        private CompletableFuture<Optional<CacheChanges>> pendingChangesRequest;

        /** Answers the latest request for changes. */
        void completeChanges(CacheChanges changes) {
            pendingChangesRequest.complete(Optional.of(changes));
        }

        /** Refuses the latest request for changes. */
        void refuseChanges() {
            pendingChangesRequest.complete(Optional.empty());
        }

        @Override
        public CompletionStage<Optional<CacheChanges>> cacheChanges(Incarnation _engine, long sinceNumber) {
            requestedSinceNumbers.add(sinceNumber);
            pendingChangesRequest = new CompletableFuture<>();
            return pendingChangesRequest;
        }

        @Override
        public CompletionStage<Optional<CacheSnapshot>> cacheSnapshot(Incarnation _engine) {
            listRequests.add(new CompletableFuture<>());
            return listRequests.get(listRequests.size() - 1);
        }
    }
}
