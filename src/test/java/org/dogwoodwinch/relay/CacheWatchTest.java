package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.PartIndex;
import org.dogwoodwinch.forwarding.Prompt;
import org.dogwoodwinch.forwarding.PromptPart;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.relay.CacheChanges.CacheChange;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class CacheWatchTest {

    private static final Incarnation ENGINE =
            new Incarnation("e1", "s", "10.0.0.1", 80, "dc", 64, false, Stage.DECODE, 1);
    private static final Prompt PROMPT = new Prompt("m", 900, 9, List.of(new PromptPart("a", 900)));

    private final VirtualTimeSource time = new VirtualTimeSource(0);
    private final PartIndex parts = new PartIndex();
    private final Control control = new Control();
    private List<Incarnation> engines = List.of(ENGINE);

    private CacheWatch started() {
        CacheWatch watch = new CacheWatch(control, parts, () -> engines, time, 250);
        watch.start();
        return watch;
    }

    @Test
    void changesAreTakenInOrderAndAskedOnFromTheirEnd() {
        started();
        control.tell(new CacheChanges("x", 7, false, List.of(new CacheChange("a", 900), new CacheChange("a", 300))));

        assertEquals(300, parts.keptTokens("e1", PROMPT));
        time.advanceMillis(250);
        assertEquals(List.of(0L, 7L), control.asked);
        assertEquals(0, control.lists.size());
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

        assertEquals(900, parts.keptTokens("e1", PROMPT));
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

        assertEquals(0, parts.keptTokens("e1", PROMPT));
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

        assertEquals(0, parts.keptTokens("e1", PROMPT));
    }

    @Test
    void anEngineThatIsGoneIsForgotten() {
        started();
        control.tell(new CacheChanges("x", 5, false, List.of(new CacheChange("a", 900))));
        engines = List.of();
        time.advanceMillis(250);

        assertEquals(0, parts.size());
    }

    private static final class Control extends SilentEngines {

        private final List<Long> asked = new ArrayList<>();
        private final List<CompletableFuture<Optional<CacheList>>> lists = new ArrayList<>();
        private CompletableFuture<Optional<CacheChanges>> question;

        /** Answers the last question for changes. */
        void tell(CacheChanges changes) {
            question.complete(Optional.of(changes));
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
