package org.dogwoodwinch.standin.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.standin.StandInEngine;
import org.dogwoodwinch.target.AnswerStream;
import org.dogwoodwinch.target.EngineOrder;
import org.dogwoodwinch.target.GenerateCall;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.TargetReply;
import org.dogwoodwinch.target.http.GenerateBody;
import org.dogwoodwinch.target.http.OrderReply;
import org.dogwoodwinch.target.http.RefusalBody;
import org.dogwoodwinch.target.http.TargetJson;
import org.dogwoodwinch.time.TimeSource;

/** Serves a stand-in engine over HTTP, in the shapes that {@link org.dogwoodwinch.target.http} reads. */
final class EngineService implements StandInService {

    private static final String ATTEMPTS = "/v1/attempts";
    private static final String EMPTY = "text/plain";
    private static final int NOT_FOUND = 404;
    private static final int NO_CONTENT = 204;
    private static final int UNAVAILABLE = 503;

    private final StandInEngine engine;
    private final TimeSource time;

    /**
     * Creates a service.
     *
     * @param engine the engine, not null
     * @param time runs the heartbeats, not null
     */
    EngineService(StandInEngine engine, TimeSource time) {
        this.engine = Objects.requireNonNull(engine, "engine");
        this.time = Objects.requireNonNull(time, "time");
    }

    @Override
    public void handle(StandInCall call, StandInReply reply) {
        String path = call.path();
        if (path.startsWith(ATTEMPTS)) {
            handleAttempt(call, path.substring(ATTEMPTS.length()), reply);
            return;
        }
        switch (path) {
            case "/v1/load" -> answer(engine.fetchLoadReport(), reply);
            case "/v1/cache-events" -> answer(engine.fetchCacheEvents(call.number("after", -1)), reply);
            case "/v1/state" -> answer(engine.fetchState(), reply);
            case "/v1/orders" -> order(call, reply);
            case "/test/crash" -> {
                engine.crash();
                reply.whole(NO_CONTENT, EMPTY, new byte[0]);
            }
            default -> reply.whole(NOT_FOUND, EMPTY, new byte[0]);
        }
    }

    private void handleAttempt(StandInCall call, String rest, StandInReply reply) {
        if (rest.isEmpty()) {
            generate(call, reply);
            return;
        }
        String id = rest.substring(1);
        if (id.endsWith("/kv")) {
            answer(engine.exportKv(id.substring(0, id.length() - "/kv".length())), reply);
        } else if (call.method().equals("DELETE")) {
            engine.cancel(id);
            reply.whole(NO_CONTENT, EMPTY, new byte[0]);
        } else {
            EngineStream stream = new EngineStream(id, reply, time);
            run(id, stream, reply, engine.resume(id, call.number("from", 0), stream));
        }
    }

    private void generate(StandInCall call, StandInReply reply) {
        Optional<GenerateBody> body = TargetJson.read(call.body().toByteArray(), GenerateBody.class);
        GenerateCall wanted = body.orElseThrow().toCall();
        EngineStream stream = new EngineStream(wanted.attemptId(), reply, time);
        run(wanted.attemptId(), stream, reply, engine.generate(wanted, stream));
    }

    /** Holds the engine back while the connection is full, and lets it run on without a reader where it breaks. */
    private void run(String attemptId, EngineStream stream, StandInReply reply, AnswerStream running) {
        stream.startHeartbeats();
        Channel channel = reply.channel();
        String name = "stream";
        if (channel.pipeline().get(name) != null) {
            channel.pipeline().remove(name);
        }
        channel.pipeline().addLast(name, new ChannelInboundHandlerAdapter() {
            @Override
            public void channelWritabilityChanged(ChannelHandlerContext context) {
                if (context.channel().isWritable()) {
                    running.resumeReading();
                } else {
                    running.pauseReading();
                }
                context.fireChannelWritabilityChanged();
            }

            @Override
            public void channelInactive(ChannelHandlerContext context) {
                if (stream.stop()) {
                    engine.detach(attemptId);
                }
                context.fireChannelInactive();
            }
        });
    }

    private void order(StandInCall call, StandInReply reply) {
        EngineOrder order =
                TargetJson.read(call.body().toByteArray(), EngineOrder.class).orElseThrow();
        engine.sendOrder(order).whenComplete((result, _error) -> reply.json(OrderReply.of(result)));
    }

    private static <T> void answer(CompletionStage<TargetReply<T>> stage, StandInReply reply) {
        stage.whenComplete((result, _error) -> {
            if (result instanceof TargetReply.Answer<T> answer) {
                reply.json(answer.value());
            } else if (result instanceof TargetReply.Failure<T> failed) {
                reply.refuse(refusalOf(failed.failure()));
            }
        });
    }

    /**
     * Makes the refusal of a failure that proves that nothing ran.
     *
     * @param failure the failure, not null
     * @return the refusal
     */
    static RefusalBody refusalOf(TargetFailure failure) {
        String reason = "refused";
        long retryAfterMillis = 0;
        if (failure instanceof TargetFailure.Refused refused) {
            reason = refused.leaving() ? RefusalBody.LEAVING : refused.overloaded() ? RefusalBody.OVERLOADED : reason;
            retryAfterMillis = refused.retryAfterMillis();
        }
        return new RefusalBody(UNAVAILABLE, reason, RefusalBody.NOT_RUN, failure.detail(), retryAfterMillis);
    }
}
