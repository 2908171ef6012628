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
    private final KvCacheIndex parts = new KvCacheIndex();
    private final Control control = new Control();
    private final Heard listener = new Heard();
    private List<Incarnation> engines = List.of(ENGINE);
    private boolean ownDuty = true;

    private CacheWatch started() {
        CacheWatch watch = new CacheWatch(control, parts, () -> engines, _id -> ownDuty, listener, time, 250);
        watch.start();
        return watch;
    }

    @Test
    void changesAreTakenInOrderAndAskedOnFromTheirEnd() {
        started();
        control.tell(new CacheChanges("x", 7, false, List.of(new CacheChange("a", 900), new CacheChange("a", 300))));

        assertEquals(300, parts.cachedPrefixTokens("e1", PROMPT));
        time.advanceMillis(250);
        assertEquals(List.of(0L, 7L), control.asked);
        assertEquals(0, control.lists.size());
    }

    /**
     * An engine starts again under its id while its changes are asked for up to the number of the start before. Its answer
     * to that question is of nobody any more; it is asked anew from the beginning, and what it kept is forgotten.
     */
    @Test
    void anEngineThatStartedAgainIsAskedFromTheBeginning() {
        started();
        control.tell(new CacheChanges("x", 7, false, List.of(new CacheChange("a", 900))));
        time.advanceMillis(250);
        engines = List.of(new Incarnation("e1", "s", "10.0.0.1", 80, "dc", 64, false, Stage.DECODE, 1, 2_000));
        time.advanceMillis(250);

        assertEquals(0, parts.cachedPrefixTokens("e1", PROMPT));
        assertEquals(List.of(0L, 7L, 0L), control.asked);
    }

    /**
     * An instance starts while engines hold more than they still tell. The engine says that changes are missing; its list
     * makes up for them. Before, the part was believed unread, and read a second time elsewhere.
     */
    @Test
    void whatIsNoLongerToldIsListed() {
        started();
        control.tell(new CacheChanges("x", 90, true, List.of()));
        control.lists.get(0).complete(Optional.of(new CacheList("x", 95, List.of(new CacheChange("a", 900)))));

        assertEquals(900, parts.cachedPrefixTokens("e1", PROMPT));
        time.advanceMillis(250);
        assertEquals(List.of(0L, 95L), control.asked);
    }

    /** Dropped unheard: what the list does not name is not kept. */
    @Test
    void whatTheListDoesNotNameIsForgotten() {
        started();
        control.tell(new CacheChanges("x", 5, false, List.of(new CacheChange("a", 900))));
        time.advanceMillis(250);
        control.tell(new CacheChanges("x", 90, true, List.of()));
        control.lists.get(0).complete(Optional.of(new CacheList("x", 95, List.of())));

        assertEquals(0, parts.cachedPrefixTokens("e1", PROMPT));
    }

    /** An engine that keeps telling of gaps is asked for its list now and then only, and for changes meanwhile. */
    @Test
    void listsAreAskedForWithAPause() {
        started();
        for (int i = 0; i < 10; i++) {
            control.tell(new CacheChanges("x", i, true, List.of()));
            if (control.lists.size() == 1) {
                control.lists.get(0).complete(Optional.empty());
            }
            time.advanceMillis(250);
        }

        assertEquals(1, control.lists.size());
        assertEquals(11, control.asked.size());
        time.advanceMillis(3_000);
        control.tell(new CacheChanges("x", 11, true, List.of()));
        assertEquals(2, control.lists.size());
    }

    @Test
    void aRestartForgetsWhatWasKept() {
        started();
        control.tell(new CacheChanges("x", 5, false, List.of(new CacheChange("a", 900))));
        time.advanceMillis(250);
        control.tell(new CacheChanges("y", 0, false, List.of()));

        assertEquals(0, parts.cachedPrefixTokens("e1", PROMPT));
    }

    @Test
    void anEngineThatIsGoneIsForgotten() {
        started();
        control.tell(new CacheChanges("x", 5, false, List.of(new CacheChange("a", 900))));
        engines = List.of();
        time.advanceMillis(250);

        assertEquals(0, parts.segmentsCount());
    }

    /**
     * Another instance takes the engine over. What is believed stays, as the other one now tells it; an answer that was
     * still under way is not taken, and a later turn begins with a question for everything.
     */
    @Test
    void anEngineThatAnotherInstanceAsksIsLeftAlone() {
        started();
        control.tell(new CacheChanges("x", 5, false, List.of(new CacheChange("a", 900))));
        time.advanceMillis(250);
        ownDuty = false;
        time.advanceMillis(1_000);
        control.tell(new CacheChanges("x", 6, false, List.of(new CacheChange("a", 0))));

        assertEquals(List.of(0L, 5L), control.asked);
        assertEquals(900, parts.cachedPrefixTokens("e1", PROMPT));
        assertEquals(List.of("a=900", "unwatched e1"), listener.words);
        ownDuty = true;
        time.advanceMillis(250);
        assertEquals(0L, control.asked.get(2));
    }

    /**
     * An engine answers a few such questions at once and refuses the others. Asked again each round by each of 72
     * instances, it refused some thousand questions a second. The pauses double up to four seconds.
     */
    @Test
    void refusedQuestionsAreAskedAgainLessOften() {
        started();
        for (int i = 0; i < 400; i++) {
            control.refuse();
            time.advanceMillis(250);
        }
        assertTrue(control.asked.size() <= 31, control.asked::toString);
        time.advanceMillis(4_000);
        control.tell(new CacheChanges("x", 5, false, List.of()));
        int before = control.asked.size();
        time.advanceMillis(250);
        assertEquals(before + 1, control.asked.size());
    }

    private static final class Heard implements CacheListener {

        private final List<String> words = new ArrayList<>();

        @Override
        public void changed(String _engineId, String partId, int keptTokens) {
            words.add(partId + "=" + keptTokens);
        }

        @Override
        public void listed(String engineId) {
            words.add("listed " + engineId);
        }

        @Override
        public void unwatched(String engineId) {
            words.add("unwatched " + engineId);
        }
    }

    private static final class Control extends SilentEngines {

        private final List<Long> asked = new ArrayList<>();
        private final List<CompletableFuture<Optional<CacheList>>> lists = new ArrayList<>();
        private CompletableFuture<Optional<CacheChanges>> question;

        /** Answers the last question for changes. */
        void tell(CacheChanges changes) {
            question.complete(Optional.of(changes));
        }

        /** Refuses the last question for changes. */
        void refuse() {
            question.complete(Optional.empty());
        }

        @Override
        public CompletionStage<Optional<CacheChanges>> cacheChanges(Incarnation _engine, long sinceNumber) {
            asked.add(sinceNumber);
            question = new CompletableFuture<>();
            return question;
        }

        @Override
        public CompletionStage<Optional<CacheList>> cacheList(Incarnation _engine) {
            lists.add(new CompletableFuture<>());
            return lists.get(lists.size() - 1);
        }
    }
}
