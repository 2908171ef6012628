package org.dogwoodwinch.request;

import java.util.Optional;
import org.dogwoodwinch.target.AnswerChunk;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.Usage;
import org.dogwoodwinch.time.Cancellable;

/**
 * Gives a resend the answer of the request that holds its key: from the log where it is kept, else from the engine's
 * stream. It never sends the request.
 *
 * <p>The first request may be a moment before its send, or its instance may be dead. The two look alike, so a stream
 * that is not there yet is asked for again within a bounded wait; then the caller is told that it may have run. All
 * methods run on the request's {@link SerialQueue}.
 */
final class ClaimJoin implements EngineAttempt.Events {

    /** Hears how the join ended, once. */
    interface Events {

        void onJoinedWhole(Usage usage);

        /** The first request is proved not to have run; the key may be claimed again. */
        void onKeyFree();

        /** The answer cannot be had. */
        void onLost();
    }

    private static final long LOOK_AGAIN_MILLIS = 100;

    private final RequestContext context;
    private final SerialQueue queue;
    private final CallerRequest request;
    private final CallerAnswer answer;
    private final ClaimRequest claim;
    private final Events events;

    private Optional<EngineAttempt> attempt = Optional.empty();
    private Cancellable nextLook = () -> {};
    private long giveUpMillis;
    private boolean reading = true;
    private boolean joined;
    private boolean over;

    ClaimJoin(
            RequestContext context,
            SerialQueue queue,
            CallerRequest request,
            CallerAnswer answer,
            ClaimRequest claim,
            Events events) {
        this.context = context;
        this.queue = queue;
        this.request = request;
        this.answer = answer;
        this.claim = claim;
        this.events = events;
    }

    void start(HeldClaim held) {
        giveUpMillis = context.nowMillis() + context.settings().joinWaitMillis();
        follow(held);
    }

    void setReading(boolean wanted) {
        reading = wanted;
        attempt.ifPresent(each -> each.setReading(wanted));
    }

    void stop() {
        over = true;
        nextLook.cancel();
        attempt.ifPresent(EngineAttempt::detach);
    }

    private void follow(HeldClaim held) {
        if (held.hasOutcome()) {
            context.claims().read(held, kept -> queue.execute(() -> onRead(held, kept)));
        } else if (held.running() && context.nowMillis() < giveUpMillis) {
            // An engine may serve one reader of a stream: to join now would cut the first caller off.
            lookLater();
        } else {
            joinStream(held);
        }
    }

    private void onRead(HeldClaim held, Optional<KeptAnswer> kept) {
        if (over) {
            return;
        }
        if (kept.isEmpty()) {
            lookLater();
            return;
        }
        kept.get()
                .match(
                        generated -> {
                            deliverKept(held, generated);
                            return null;
                        },
                        service -> {
                            over = true;
                            answer.completeService(service);
                            events.onJoinedWhole(new Usage(0, 0, 0));
                            return null;
                        },
                        _tooLong -> {
                            joinStream(held);
                            return null;
                        });
    }

    private void deliverKept(HeldClaim held, KeptAnswer.Generated generated) {
        over = true;
        int tokens = (int) Math.max(1, generated.usage().completionTokens());
        answer.progress().startAgain();
        AnswerChunk whole = new AnswerChunk(held.pointer().attemptId(), 0, tokens, generated.text());
        AnswerProgress.Verdict verdict = answer.progress().accept(whole);
        if (verdict == AnswerProgress.Verdict.DIVERGED || answer.progress().replaying()) {
            events.onLost();
            return;
        }
        if (verdict == AnswerProgress.Verdict.DELIVER) {
            answer.deliver(answer.progress().pending());
        }
        answer.complete(generated.usage(), generated.finishReason());
        events.onJoinedWhole(generated.usage());
    }

    private void joinStream(HeldClaim held) {
        Optional<Target> target = context.targets().apply(held.pointer().target());
        boolean generates = request.work() instanceof Work.Generate;
        joined = true;
        if (target.isEmpty() || !generates) {
            lookLater();
            return;
        }
        EngineAttempt next = new EngineAttempt(
                context, queue, request, answer.progress(), target.get(), held.pointer(), true, 0, this);
        attempt = Optional.of(next);
        next.setReading(reading);
        next.join();
    }

    private void lookLater() {
        attempt = Optional.empty();
        if (context.nowMillis() >= giveUpMillis && joined) {
            over = true;
            events.onLost();
            return;
        }
        nextLook = context.time().schedule(LOOK_AGAIN_MILLIS, () -> queue.execute(this::look));
    }

    private void look() {
        if (over) {
            return;
        }
        Optional<HeldClaim> held = context.claims().held(claim);
        if (held.isEmpty() && answer.progress().delivered() == 0) {
            over = true;
            events.onKeyFree();
        } else if (held.isEmpty()) {
            over = true;
            events.onLost();
        } else {
            follow(held.get());
        }
    }

    @Override
    public void onDelivered(AnswerChunk chunk) {
        answer.deliver(chunk);
    }

    @Override
    public void onWhole(Usage usage, String finishReason) {
        over = true;
        answer.complete(usage, finishReason);
        events.onJoinedWhole(usage);
    }

    @Override
    public void onAttemptFailed(TargetFailure _failure, boolean _crashed) {
        lookLater();
    }

    @Override
    public void onDiverged() {
        over = true;
        events.onLost();
    }
}
