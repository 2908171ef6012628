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
    private final RequestFixture.RecordingCaller caller = new RequestFixture.RecordingCaller();

    @Test
    void deliversTheWholeAnswerExactlyOnce() {
        submit(fixture.generateRequest(PROMPT, true, ""));
        fixture.time.advanceMillis(10_000);
        assertWhole();
        assertEquals(1, fixture.executedPrompts.size());
    }

    /** An engine crashes during an answer: the rerun on another engine must not deliver any token twice. */
    @Test
    void rerunsARepeatableRequestOnAnotherEngineAfterACrash() {
        submit(fixture.generateRequest(PROMPT, true, ""));
        fixture.time.advanceMillis(150);
        assertTrue(caller.nextSequence > 0 && !caller.complete);
        fixture.engines.get("engine-0").crash();
        fixture.time.advanceMillis(10_000);
        assertWhole();
        assertEquals(List.of(RetryReason.STREAM_RESUMED, RetryReason.CONNECTION_BROKEN), fixture.retries);
    }

    /** The engine is down before a byte is written: a retry is safe even for a request that must not run twice. */
    @Test
    void retriesANonRepeatableRequestThatProvablyDidNotRun() {
        fixture.engines.get("engine-0").crash();
        submit(fixture.generateRequest(PROMPT, false, ""));
        fixture.time.advanceMillis(1_500);
        assertWhole();
        assertEquals(1, fixture.executedPrompts.size());
    }

    /** The engine crashes while it runs a request that must not run twice: it may have billed it before the crash. */
    @Test
    void refusesANonRepeatableRequestAsMayHaveRunAfterACrash() {
        submit(fixture.generateRequest(PROMPT, false, ""));
        fixture.time.advanceMillis(20);
        fixture.engines.get("engine-0").crash();
        fixture.time.advanceMillis(10_000);
        assertEquals(RunState.MAY_HAVE_RUN, caller.refusal.orElseThrow().runState());
        assertEquals(1, fixture.executedPrompts.size());
    }

    /** Every engine is down, which proves that nothing ran: the caller must learn that a resend is safe. */
    @Test
    void refusesAsNotRunWhenEveryTargetProvedIt() {
        fixture.engines.values().forEach(StandInEngine::crash);
        submit(fixture.generateRequest(PROMPT, false, ""));
        fixture.time.advanceMillis(2_900);
        assertEquals(RunState.NOT_RUN, caller.refusal.orElseThrow().runState());
        assertEquals(RefusalReason.TARGET_FAILED, caller.refusal.orElseThrow().reason());
        assertEquals(0, fixture.executedPrompts.size());
    }

    /** The connection breaks after the call was written, and the reply is lost: a second send could run it twice. */
    @Test
    void sendsANonRepeatableServiceCallOnlyOnce() {
        int[] calls = new int[1];
        fixture.service = _call -> {
            calls[0]++;
            return CompletableFuture.completedFuture(
                    new TargetReply.Failure<>(new TargetFailure.Broken("connection reset")));
        };
        submit(fixture.serviceRequest("script", false, ""));
        fixture.time.advanceMillis(10_000);
        assertEquals(1, calls[0]);
        assertEquals(RunState.MAY_HAVE_RUN, caller.refusal.orElseThrow().runState());
    }

    @Test
    void forwardsAServiceAnswer() {
        ServiceAnswer answer = new ServiceAnswer(200, "text/plain", Bytes.ofUtf8("checked"));
        fixture.service = _call -> CompletableFuture.completedFuture(new TargetReply.Answer<>(answer));
        submit(fixture.serviceRequest("script", false, ""));
        assertEquals(answer, caller.serviceAnswer.orElseThrow());
    }

    /** A target is overloaded: a retry would only add load, so the caller must receive the retry delay at once. */
    @Test
    void doesNotRetryWhenTheTargetIsOverloaded() {
        int[] calls = new int[1];
        fixture.service = _call -> {
            calls[0]++;
            return CompletableFuture.completedFuture(
                    new TargetReply.Failure<>(new TargetFailure.Refused("busy", true, false, 700)));
        };
        submit(fixture.serviceRequest("script", true, ""));
        assertEquals(1, calls[0]);
        assertEquals(
                RefusalReason.TARGETS_OVERLOADED, caller.refusal.orElseThrow().reason());
        assertEquals(700, caller.refusal.orElseThrow().retryAfterMillis());
        assertEquals(RunState.NOT_RUN, caller.refusal.orElseThrow().runState());
    }

    /** All targets fail for a while: unlimited retries would build up a retry storm. */
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
            coordinator.submit(fixture.serviceRequest("script" + i, true, ""), new RequestFixture.RecordingCaller());
        }
        fixture.time.advanceMillis(10_000);
        int allowed = (int) (fixture.settings.retryFraction() * requests + fixture.settings.retryBurst());
        assertTrue(calls[0] <= requests + allowed, calls[0] + " calls");
        assertEquals(0, coordinator.inFlight());
    }

    /** A request that crashes every engine is sent fifty times: after two crashes it must be refused at once. */
    @Test
    void quarantinesARequestThatCrashesTargets() {
        fixture.quarantine = new SuspectRegistry(fixture.time, 600_000, 3_600_000, _notice -> {});
        RequestCoordinator coordinator = fixture.coordinator(1);
        for (int i = 0; i < 50; i++) {
            coordinator.submit(fixture.generateRequest("[crash]", true, ""), caller);
            fixture.time.advanceMillis(5_000);
        }
        assertEquals(2, fixture.executedPrompts.size());
        assertEquals(RefusalReason.QUARANTINED, caller.refusal.orElseThrow().reason());
    }

    /** The caller disconnects: the engine must not continue to generate, and nothing more may be delivered. */
    @Test
    void cancelsTheStreamWhenTheCallerDisconnects() {
        RequestHandle handle = submit(fixture.generateRequest(PROMPT, true, ""));
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
