package org.dogwoodwinch.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.standin.StandInEngine;
import org.dogwoodwinch.standin.StandInText;
import org.dogwoodwinch.target.AnswerChunk;
import org.dogwoodwinch.target.ServiceAnswer;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.TargetReply;
import org.junit.jupiter.api.Test;

class RequestCoordinatorTest {

    private static final String PROMPT = "slot confirmation for Thrissur [tokens=20]";

    private final RequestFixture fixture = new RequestFixture(3);
    private final RequestFixture.Caller caller = new RequestFixture.Caller();

    @Test
    void deliversTheWholeAnswerExactlyOnce() {
        submit(fixture.generate(PROMPT, true, ""));
        fixture.time.advanceMillis(10_000);
        assertWhole();
        assertEquals(1, fixture.executedPrompts.size());
    }

    /**
     * The engine crashes in the middle of an answer. The caller sees one whole answer and no token twice: the stream
     * cannot be joined, so another engine runs the request from the start, and what went out is withheld because the new
     * run begins with the same text.
     */
    @Test
    void rerunsARepeatableRequestOnAnotherEngineAfterACrash() {
        submit(fixture.generate(PROMPT, true, ""));
        fixture.time.advanceMillis(150);
        assertTrue(caller.nextSequence > 0 && !caller.complete);
        fixture.engines.get("engine-0").crash();
        fixture.time.advanceMillis(10_000);
        assertWhole();
        assertEquals(List.of(RetryReason.STREAM_RESUMED, RetryReason.CONNECTION_BROKEN), fixture.retries);
    }

    /** The engine is down: not a byte was written, so even a call that may run once only goes to the next one. */
    @Test
    void retriesANonRepeatableRequestThatProvablyDidNotRun() {
        fixture.engines.get("engine-0").crash();
        submit(fixture.generate(PROMPT, false, ""));
        fixture.time.advanceMillis(1_500);
        assertWhole();
        assertEquals(1, fixture.executedPrompts.size());
    }

    /**
     * The engine crashes while it runs a call that may run once only. The caller is told that it may have run, and no
     * other engine gets it: the first one may have billed it before it went down.
     */
    @Test
    void refusesANonRepeatableRequestAsMayHaveRunAfterACrash() {
        submit(fixture.generate(PROMPT, false, ""));
        fixture.time.advanceMillis(20);
        fixture.engines.get("engine-0").crash();
        fixture.time.advanceMillis(10_000);
        assertEquals(RunState.MAY_HAVE_RUN, caller.refusal.orElseThrow().run());
        assertEquals(1, fixture.executedPrompts.size());
    }

    /** Every engine is down: each proved that nothing ran, so the refusal says so. */
    @Test
    void refusesAsNotRunWhenEveryTargetProvedIt() {
        fixture.engines.values().forEach(StandInEngine::crash);
        submit(fixture.generate(PROMPT, false, ""));
        fixture.time.advanceMillis(2_900);
        assertEquals(RunState.NOT_RUN, caller.refusal.orElseThrow().run());
        assertEquals(RefusalReason.TARGET_FAILED, caller.refusal.orElseThrow().reason());
        assertEquals(0, fixture.executedPrompts.size());
    }

    /**
     * A service breaks the connection after the request was written. A call that may not be repeated is sent once, and
     * the word is may-have-run: the reply that would tell is lost.
     */
    @Test
    void sendsANonRepeatableServiceCallOnlyOnce() {
        int[] calls = new int[1];
        fixture.service = _call -> {
            calls[0]++;
            return CompletableFuture.completedFuture(
                    new TargetReply.Failure<>(new TargetFailure.Broken("connection reset")));
        };
        submit(fixture.serviceCall("script", false, ""));
        fixture.time.advanceMillis(10_000);
        assertEquals(1, calls[0]);
        assertEquals(RunState.MAY_HAVE_RUN, caller.refusal.orElseThrow().run());
    }

    @Test
    void forwardsAServiceAnswer() {
        ServiceAnswer answer = new ServiceAnswer(200, "text/plain", Bytes.ofUtf8("checked"));
        fixture.service = _call -> CompletableFuture.completedFuture(new TargetReply.Answer<>(answer));
        submit(fixture.serviceCall("script", false, ""));
        assertEquals(answer, caller.serviceAnswer.orElseThrow());
    }

    /** Targets refuse for load: the caller hears at once when to come back, and no other target gets the extra load. */
    @Test
    void doesNotRetryWhenTheTargetIsOverloaded() {
        int[] calls = new int[1];
        fixture.service = _call -> {
            calls[0]++;
            return CompletableFuture.completedFuture(
                    new TargetReply.Failure<>(new TargetFailure.Refused("busy", true, false, 700)));
        };
        submit(fixture.serviceCall("script", true, ""));
        assertEquals(1, calls[0]);
        assertEquals(
                RefusalReason.TARGETS_OVERLOADED, caller.refusal.orElseThrow().reason());
        assertEquals(700, caller.refusal.orElseThrow().retryAfterMillis());
        assertEquals(RunState.NOT_RUN, caller.refusal.orElseThrow().run());
    }

    /** All targets fail for a while: retries stop when the budget is spent, so a storm cannot build up. */
    @Test
    void stopsRetryingWhenTheRetryBudgetIsSpent() {
        int[] calls = new int[1];
        fixture.service = _call -> {
            calls[0]++;
            return CompletableFuture.completedFuture(new TargetReply.Failure<>(new TargetFailure.Failed("500")));
        };
        RequestCoordinator coordinator = fixture.coordinator(1);
        int requests = 300;
        for (int i = 0; i < requests; i++) {
            coordinator.submit(fixture.serviceCall("script" + i, true, ""), new RequestFixture.Caller());
        }
        fixture.time.advanceMillis(10_000);
        int allowed = (int) (fixture.settings.retryFraction() * requests + fixture.settings.retryBurst());
        assertTrue(calls[0] <= requests + allowed, calls[0] + " calls");
        assertEquals(0, coordinator.inFlight());
    }

    /**
     * One request crashes each engine that runs it, and its caller sends it fifty times. The first crash makes it suspect,
     * the second, alone, puts it into quarantine: two engines crash in all, and later sends are refused at once.
     */
    @Test
    void quarantinesARequestThatCrashesTargets() {
        fixture.quarantine = new SuspectBook(fixture.time, 600_000, 3_600_000, _notice -> {});
        RequestCoordinator coordinator = fixture.coordinator(1);
        for (int i = 0; i < 50; i++) {
            coordinator.submit(fixture.generate("[crash]", true, ""), caller);
            fixture.time.advanceMillis(5_000);
        }
        assertEquals(2, fixture.executedPrompts.size());
        assertEquals(RefusalReason.QUARANTINED, caller.refusal.orElseThrow().reason());
    }

    /** The caller leaves: the engine's stream is cancelled, and nothing more goes to the caller. */
    @Test
    void cancelsTheStreamWhenTheCallerDisconnects() {
        RequestHandle handle = submit(fixture.generate(PROMPT, true, ""));
        fixture.time.advanceMillis(100);
        String before = caller.text.toString();
        handle.cancel();
        fixture.time.advanceMillis(10_000);
        assertEquals(before, caller.text.toString());
        assertEquals(0, fixture.engines.get("engine-0").inFlight());
    }

    @Test
    void doesNotMatchChunksOfAnotherAttempt() {
        AnswerChunk crossed = new AnswerChunk("another", 0, 1, "x");
        assertTrue(!RequestPolicies.STANDARD.chunkMatcher().matches("mine", crossed));
    }

    private RequestHandle submit(CallerRequest request) {
        return fixture.coordinator(1).submit(request, caller);
    }

    private void assertWhole() {
        assertTrue(caller.complete, () -> "not complete: " + caller.refusal);
        assertEquals(StandInText.answer(PROMPT, 64), caller.text.toString());
    }
}
