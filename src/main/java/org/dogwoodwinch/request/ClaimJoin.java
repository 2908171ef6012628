package org.dogwoodwinch.request;

import java.util.Optional;
import org.dogwoodwinch.target.AnswerChunk;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.TokenUsage;
import org.dogwoodwinch.time.Cancellable;

/**
 * Answers a resend with the answer of the earlier request that holds its idempotency key: from the log if the answer is
 * stored there, otherwise from the engine's stream. The request itself is never sent.
 *
 * <p>The earlier request may be about to be sent, or its instance may have failed; the two cannot be told apart. A
 * stream that does not exist yet is therefore polled for a bounded time, after which the caller is refused with "may
 * have run". All methods run on the request's {@link SerialExecutor}.
 */
final class ClaimJoin implements EngineAttempt.Listener {

    /** Receives the result of the join, exactly once. */
    interface Listener {

        void onAnswered(TokenUsage usage);

        /** The earlier request is proved not to have run; the key may be claimed again. */
        void onKeyReleased();

        /** The earlier request's answer cannot be retrieved. */
        void onAnswerUnavailable();
    }

    private static final long POLL_INTERVAL_MILLIS = 100;

    private final RequestContext context;
    private final SerialExecutor executor;
    private final CallerRequest request;
    private final AnswerDelivery delivery;
    private final ClaimRequest claim;
    private final Listener listener;

    private Optional<EngineAttempt> attempt = Optional.empty();
    private Cancellable nextPoll = () -> {};
    private long waitUntilMillis;
    private boolean readingEnabled = true;
    private boolean streamJoinTried;
    private boolean finished;

    ClaimJoin(
            RequestContext context,
            SerialExecutor executor,
            CallerRequest request,
            AnswerDelivery delivery,
            ClaimRequest claim,
            Listener listener) {
        this.context = context;
        this.executor = executor;
        this.request = request;
        this.delivery = delivery;
        this.claim = claim;
        this.listener = listener;
    }

    void start(HeldClaim held) {
        waitUntilMillis = context.nowMillis() + context.settings().joinWaitMillis();
        follow(held);
    }

    void setReadingEnabled(boolean enabled) {
        readingEnabled = enabled;
        attempt.ifPresent(each -> each.setReadingEnabled(enabled));
    }

    void stop() {
        finished = true;
        nextPoll.cancel();
        attempt.ifPresent(EngineAttempt::detach);
    }

    private void follow(HeldClaim held) {
        if (held.hasOutcome()) {
            context.claimStore().readAnswer(held, stored -> executor.execute(() -> onAnswerRead(held, stored)));
        } else if (held.inProgress() && context.nowMillis() < waitUntilMillis) {
            // An engine may serve only one reader per stream: joining now would disconnect the first caller.
            schedulePoll();
        } else {
            joinStream(held);
        }
    }

    private void onAnswerRead(HeldClaim held, Optional<StoredAnswer> stored) {
        if (finished) {
            return;
        }
        if (stored.isEmpty()) {
            schedulePoll();
            return;
        }
        stored.get()
                .match(
                        generated -> {
                            deliverStored(held, generated);
                            return null;
                        },
                        service -> {
                            finished = true;
                            delivery.completeServiceAnswer(service);
                            listener.onAnswered(new TokenUsage(0, 0, 0));
                            return null;
                        },
                        _tooLong -> {
                            joinStream(held);
                            return null;
                        });
    }

    private void deliverStored(HeldClaim held, StoredAnswer.Generated generated) {
        finished = true;
        int tokens = (int) Math.max(1, generated.usage().completionTokens());
        delivery.progress().restart();
        AnswerChunk wholeAnswer = new AnswerChunk(held.pointer().attemptId(), 0, tokens, generated.text());
        AnswerProgress.Verdict verdict = delivery.progress().accept(wholeAnswer);
        if (verdict == AnswerProgress.Verdict.DIVERGED || delivery.progress().isReplaying()) {
            listener.onAnswerUnavailable();
            return;
        }
        if (verdict == AnswerProgress.Verdict.DELIVER) {
            delivery.deliver(delivery.progress().pendingChunk());
        }
        delivery.complete(generated.usage(), generated.finishReason());
        listener.onAnswered(generated.usage());
    }

    private void joinStream(HeldClaim held) {
        Optional<Target> target = context.targetLookup().apply(held.pointer().target());
        boolean generates = request.operation() instanceof Operation.Generate;
        streamJoinTried = true;
        if (target.isEmpty() || !generates) {
            schedulePoll();
            return;
        }
        EngineAttempt newAttempt = new EngineAttempt(
                context, executor, request, delivery.progress(), target.get(), held.pointer(), true, 0, this);
        attempt = Optional.of(newAttempt);
        newAttempt.setReadingEnabled(readingEnabled);
        newAttempt.join();
    }

    private void schedulePoll() {
        attempt = Optional.empty();
        if (context.nowMillis() >= waitUntilMillis && streamJoinTried) {
            finished = true;
            listener.onAnswerUnavailable();
            return;
        }
        nextPoll = context.time().schedule(POLL_INTERVAL_MILLIS, () -> executor.execute(this::poll));
    }

    private void poll() {
        if (finished) {
            return;
        }
        Optional<HeldClaim> held = context.claimStore().findHolder(claim);
        if (held.isEmpty() && delivery.progress().deliveredTokens() == 0) {
            finished = true;
            listener.onKeyReleased();
        } else if (held.isEmpty()) {
            finished = true;
            listener.onAnswerUnavailable();
        } else {
            follow(held.get());
        }
    }

    @Override
    public void onDelivered(AnswerChunk chunk) {
        delivery.deliver(chunk);
    }

    @Override
    public void onCompleted(TokenUsage usage, String finishReason) {
        finished = true;
        delivery.complete(usage, finishReason);
        listener.onAnswered(usage);
    }

    @Override
    public void onAttemptFailed(TargetFailure _failure, boolean _crashed) {
        schedulePoll();
    }

    @Override
    public void onDiverged() {
        finished = true;
        listener.onAnswerUnavailable();
    }
}
