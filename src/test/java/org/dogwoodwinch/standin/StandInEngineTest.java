package org.dogwoodwinch.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import org.dogwoodwinch.target.AnswerChunk;
import org.dogwoodwinch.target.AnswerListener;
import org.dogwoodwinch.target.AnswerStream;
import org.dogwoodwinch.target.EngineConfiguration;
import org.dogwoodwinch.target.EngineOrder;
import org.dogwoodwinch.target.EngineRole;
import org.dogwoodwinch.target.GenerateCall;
import org.dogwoodwinch.target.LoadReport;
import org.dogwoodwinch.target.OrderResult;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.TokenUsage;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class StandInEngineTest {

    private static final EngineConfiguration MIXED =
            new EngineConfiguration(EngineRole.MIXED, "reader", "1", new TreeSet<>());
    private static final String PROMPT = "summarise the censor notes ".repeat(40);

    private final VirtualTimeSource time = new VirtualTimeSource(0);

    @Test
    void theAnswerIsAFunctionOfThePrompt() {
        Recording answer = new Recording();
        engine(StandInEngineOptions.STANDARD).generate(call("a", PROMPT), answer);
        time.advanceMillis(60_000);
        assertEquals(StandInText.answer(PROMPT, 64), answer.text());
        assertEquals(StandInText.answerTokens(PROMPT, 64), answer.usage.completionTokens());
    }

    @Test
    void aSecondPromptWithTheSamePrefixIsPartlyCached() {
        StandInEngine engine = engine(StandInEngineOptions.STANDARD);
        engine.generate(call("a", PROMPT), new Recording());
        time.advanceMillis(60_000);
        Recording second = new Recording();
        engine.generate(call("b", PROMPT + "and more"), second);
        time.advanceMillis(60_000);
        assertTrue(second.usage.cachedPromptTokens() > 100);
    }

    @Test
    void aPausedListenerGetsNothingAndLaterTheWholeAnswer() {
        Recording answer = new Recording();
        AnswerStream stream = engine(StandInEngineOptions.STANDARD).generate(call("a", PROMPT), answer);
        stream.pauseReading();
        time.advanceMillis(60_000);
        assertEquals("", answer.text());
        stream.resumeReading();
        assertEquals(StandInText.answer(PROMPT, 64), answer.text());
    }

    @Test
    void aDetachedStreamIsJoinedAgainFromAToken() {
        StandInEngine engine = engine(StandInEngineOptions.STANDARD);
        Recording first = new Recording();
        engine.generate(call("a", PROMPT), first);
        time.advanceMillis(300);
        engine.detach("a");
        int received = first.chunks.size();
        Recording rest = new Recording();
        time.advanceMillis(5_000);
        engine.resume("a", received, rest);
        time.advanceMillis(60_000);
        assertTrue(received > 0);
        assertEquals(StandInText.answer(PROMPT, 64), first.text() + rest.text());
    }

    /**
     * The caller's stream breaks. The engine runs a prompt that crashes it, so all its streams break together; what is
     * sent while it is down provably did not run.
     */
    @Test
    void aCrashBreaksStreamsAndRefusesConnectionsUntilTheRestart() {
        StandInEngine engine = engine(StandInEngineOptions.STANDARD);
        Recording innocent = new Recording();
        engine.generate(call("a", PROMPT), innocent);
        engine.generate(call("b", "[crash]"), new Recording());
        time.advanceMillis(10);
        assertInstanceOf(TargetFailure.Broken.class, innocent.failure);
        Recording early = new Recording();
        engine.generate(call("c", PROMPT), early);
        time.advanceMillis(10);
        assertInstanceOf(TargetFailure.NotSent.class, early.failure);
        time.advanceMillis(3_000);
        Recording later = new Recording();
        engine.generate(call("d", PROMPT), later);
        time.advanceMillis(60_000);
        assertEquals(StandInText.answer(PROMPT, 64), later.text());
    }

    @Test
    void aCheckingEngineRefusesAnOldFencingTokenAndAnIgnoringOneObeys() {
        EngineConfiguration decode = MIXED.withRole(EngineRole.DECODE);
        StandInEngine checking = engine(StandInEngineOptions.STANDARD);
        checking.sendOrder(new EngineOrder("new", 9, decode));
        assertEquals(new OrderResult.Fenced(9), result(checking, new EngineOrder("old", 8, MIXED)));
        StandInEngine ignoring = engine(StandInEngineOptions.STANDARD.withChecksFencing(false));
        ignoring.sendOrder(new EngineOrder("new", 9, decode));
        assertInstanceOf(OrderResult.Accepted.class, result(ignoring, new EngineOrder("old", 8, MIXED)));
    }

    @Test
    void aLoadReportIsAsOldAsTheLag() {
        StandInEngine engine = engine(StandInEngineOptions.STANDARD.withReportLagMillis(2_000));
        time.advanceMillis(5_000);
        engine.generate(call("a", "[prompt-tokens=100000] [tokens=500]"), new Recording());
        time.advanceMillis(1_000);
        long early = queuedPrefill(engine);
        time.advanceMillis(2_000);
        assertEquals(0, early);
        assertTrue(queuedPrefill(engine) > 0);
    }

    private long queuedPrefill(StandInEngine engine) {
        return engine.fetchLoadReport()
                .toCompletableFuture()
                .join()
                .match(LoadReport::queuedPrefillTokens, _failure -> -1L);
    }

    private static OrderResult result(StandInEngine engine, EngineOrder order) {
        return engine.sendOrder(order).toCompletableFuture().join();
    }

    private StandInEngine engine(StandInEngineOptions options) {
        return new StandInEngine("e1", "127.0.0.1:1", MIXED, options, time, StandInEngineObserver.NONE);
    }

    private static GenerateCall call(String attemptId, String prompt) {
        return new GenerateCall(attemptId, "reader", prompt, 64, 0, 10_000, false, Optional.empty());
    }

    private static final class Recording implements AnswerListener {

        private final List<AnswerChunk> chunks = new ArrayList<>();
        private TokenUsage usage;
        private TargetFailure failure;

        @Override
        public void onChunk(AnswerChunk chunk) {
            chunks.add(chunk);
        }

        @Override
        public void onComplete(TokenUsage newUsage, String _finishReason) {
            usage = newUsage;
        }

        @Override
        public void onFailure(TargetFailure newFailure) {
            failure = newFailure;
        }

        private String text() {
            StringBuilder text = new StringBuilder();
            chunks.forEach(chunk -> text.append(chunk.text()));
            return text.toString();
        }
    }
}
