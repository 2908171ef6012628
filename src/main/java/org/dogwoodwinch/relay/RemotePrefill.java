package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.forwarding.ForwardingPlan;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.Prompt;
import org.dogwoodwinch.forwarding.SendCheck;
import org.dogwoodwinch.forwarding.ServiceEntry;

/**
 * Prefills the prompt of a call on one engine so that another can run the call. The call itself does not run on this
 * engine, so after any failure it may still be run on another one. Confined to one event loop.
 */
final class RemotePrefill implements ResponseSink {

    private final RelayContext context;
    private final ServiceEntry service;
    private final Incarnation engine;
    private final Prompt prompt;
    private final ForwardingPlan.PrefillWork prefillWork;
    private final BooleanSupplier maySend;
    private final Consumer<PrefillOutcome> onOutcome;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private Optional<TargetConnection> connection = Optional.empty();
    private Optional<InFlightSend> inFlight = Optional.empty();
    private ResponseAttributes responseHead;
    private boolean ended;

    /**
     * Creates a prefill that sends nothing before {@link #start}.
     *
     * @param context the services that all relays share, not null
     * @param service the service that the engine belongs to, not null
     * @param engine the engine that prefills the prompt, not null
     * @param prompt the prompt of the call, not null
     * @param prefillWork the tokens to prefill and their queue level, not null
     * @param maySend returns whether the call may be sent, evaluated directly before the write, not null
     * @param onOutcome receives the outcome, unless {@link #cancel} is called before, not null
     */
    RemotePrefill(
            RelayContext context,
            ServiceEntry service,
            Incarnation engine,
            Prompt prompt,
            ForwardingPlan.PrefillWork prefillWork,
            BooleanSupplier maySend,
            Consumer<PrefillOutcome> onOutcome) {
        this.context = Objects.requireNonNull(context, "context");
        this.service = Objects.requireNonNull(service, "service");
        this.engine = Objects.requireNonNull(engine, "engine");
        this.prompt = Objects.requireNonNull(prompt, "prompt");
        this.prefillWork = Objects.requireNonNull(prefillWork, "prefillWork");
        this.maySend = Objects.requireNonNull(maySend, "maySend");
        this.onOutcome = Objects.requireNonNull(onOutcome, "onOutcome");
    }

    Incarnation engine() {
        return engine;
    }

    /**
     * Sends the prefill request.
     *
     * @param requestId the id of the call, not null
     * @param arrivalMillis when the call arrived, in monotonic milliseconds
     * @param outbound supplies the request to the engine, evaluated when it is sent, not null
     * @param onWrite run directly before the request is written, not null
     */
    void start(String requestId, long arrivalMillis, Supplier<OutboundCall> outbound, Runnable onWrite) {
        context.connections()
                .acquire(
                        engine,
                        requestId,
                        context.connectionsPerTarget(service),
                        new TargetConnectionPool.AcquireCallback() {
                            @Override
                            public void acquired(TargetConnection acquired) {
                                context.afterCallerReads(arrivalMillis, () -> send(acquired, outbound, onWrite));
                            }

                            @Override
                            public void notAcquired(String reason) {
                                finish(new PrefillOutcome.NotSent(reason));
                            }
                        });
    }

    private void send(TargetConnection acquired, Supplier<OutboundCall> call, Runnable onWrite) {
        if (ended) {
            context.connections().release(acquired);
            return;
        }
        if (!maySend.getAsBoolean()) {
            context.connections().release(acquired);
            finish(new PrefillOutcome.NotSent("held_back"));
            return;
        }
        if (!acquired.isOpen()) {
            finish(new PrefillOutcome.NotSent("connection_closed"));
            return;
        }
        OutboundCall outbound = call.get();
        SendCheck check = context.chooser().checkSend(engine);
        if (check != SendCheck.ALLOWED) {
            context.connections().release(acquired);
            context.report().keptFromTarget(outbound.requestId(), engine, check);
            finish(new PrefillOutcome.NotSent(check == SendCheck.LEFT ? "target_left" : "target_rests"));
            return;
        }
        connection = Optional.of(acquired);
        InFlightSend started = InFlightSend.start(context, engine, Optional.of(prompt), prefillWork);
        inFlight = Optional.of(started);
        context.report().sent(outbound.requestId(), engine, prefillWork, started.aheadTokens(), SendPurpose.READING);
        onWrite.run();
        acquired.send(outbound, this);
    }

    /** Cancels the prefill by closing its connection, on which the engine drops the work. */
    void cancel() {
        if (ended) {
            return;
        }
        ended = true;
        connection.ifPresent(open -> {
            open.abort();
            releaseSend();
        });
    }

    @Override
    public void onHead(ResponseAttributes attributes, HttpHeaders _headers) {
        responseHead = attributes;
        inFlight.ifPresent(started -> started.recordResponseHead(attributes));
    }

    @Override
    public void onBody(ByteBuf chunk) {
        if (ended) {
            return;
        }
        if (body.size() + chunk.readableBytes() <= ReceiveLimits.MAX_PREFILL_BODY_BYTES) {
            body.writeBytes(ByteBufUtil.getBytes(chunk));
            return;
        }
        connection.ifPresent(open -> open.abortEndless("prefill"));
        onLost("answer_too_long", true);
    }

    @Override
    public void onEnd(ResponseEnd end) {
        context.recordResponse(engine.id(), responseHead.isMisdirected());
        if (responseHead.status() == 200) {
            inFlight.ifPresent(InFlightSend::recordPrefillDone);
        }
        releaseSend();
        if (responseHead.status() != 200) {
            finish(new PrefillOutcome.Failed("status_" + responseHead.status(), false));
            return;
        }
        Optional<KvCacheHandle> memory = context.control().parseCacheHandle(engine, Bytes.of(body.toByteArray()));
        if (memory.isEmpty() && end == ResponseEnd.CONNECTION) {
            finish(new PrefillOutcome.Failed("cut_short", true));
            return;
        }
        finish(memory.<PrefillOutcome>map(PrefillOutcome.Completed::new)
                .orElseGet(() -> new PrefillOutcome.NoCacheHandle("no_handle")));
    }

    @Override
    public void onLost(String reason, boolean connectionAborted) {
        inFlight.ifPresent(InFlightSend::recordLost);
        releaseSend();
        context.recordLoss(engine.id(), connectionAborted);
        finish(new PrefillOutcome.Failed(reason, true));
    }

    private void releaseSend() {
        connection = Optional.empty();
        inFlight.ifPresent(InFlightSend::end);
        inFlight = Optional.empty();
    }

    private void finish(PrefillOutcome outcome) {
        if (!ended) {
            ended = true;
            onOutcome.accept(outcome);
        }
    }
}
