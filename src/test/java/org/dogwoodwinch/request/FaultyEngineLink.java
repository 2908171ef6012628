package org.dogwoodwinch.request;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.commons.rng.UniformRandomProvider;
import org.dogwoodwinch.standin.StandInEngine;
import org.dogwoodwinch.target.AnswerChunk;
import org.dogwoodwinch.target.AnswerListener;
import org.dogwoodwinch.target.AnswerStream;
import org.dogwoodwinch.target.CacheEvent;
import org.dogwoodwinch.target.EngineClient;
import org.dogwoodwinch.target.EngineOrder;
import org.dogwoodwinch.target.EngineState;
import org.dogwoodwinch.target.GenerateCall;
import org.dogwoodwinch.target.KvReference;
import org.dogwoodwinch.target.LoadReport;
import org.dogwoodwinch.target.OrderResult;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.TargetReply;
import org.dogwoodwinch.target.TokenUsage;
import org.dogwoodwinch.time.VirtualTimeSource;

/**
 * The connections of one instance to one engine, which break and which lose, delay, duplicate and misroute messages.
 */
final class FaultyEngineLink implements EngineClient {

    private final VirtualTimeSource virtualTime;
    private final ProcessClock process;
    private final StandInEngine engine;
    private final UniformRandomProvider random;
    private final List<Connection> open = new ArrayList<>();
    private int sendsToLose;
    private int answersToLose;
    private boolean disconnected;
    private boolean unreliable;

    FaultyEngineLink(
            VirtualTimeSource virtualTime, ProcessClock process, StandInEngine engine, UniformRandomProvider random) {
        this.virtualTime = virtualTime;
        this.process = process;
        this.engine = engine;
        this.random = random;
    }

    void loseSends(int count) {
        sendsToLose = count;
    }

    void loseAnswers(int count) {
        answersToLose = count;
    }

    void setUnreliable(boolean enabled) {
        unreliable = enabled;
    }

    void setDisconnected(boolean enabled) {
        disconnected = enabled;
        if (enabled) {
            breakConnections();
        }
    }

    /** Breaks all connections; the engine continues to run. */
    void breakConnections() {
        List<Connection> broken = new ArrayList<>(open);
        open.clear();
        for (Connection connection : broken) {
            engine.detach(connection.attemptId);
            connection.fail(new TargetFailure.Broken("the connection broke"));
        }
    }

    @Override
    public AnswerStream generate(GenerateCall call, AnswerListener listener) {
        Connection connection = new Connection(call.attemptId(), listener);
        if (disconnected) {
            connection.fail(new TargetFailure.NotSent("no connection"));
            return connection;
        }
        if (sendsToLose > 0) {
            sendsToLose--;
            connection.fail(new TargetFailure.Broken("reset while sending"));
            return connection;
        }
        return connection.attach(engine.generate(call, connection));
    }

    @Override
    public AnswerStream resume(String attemptId, long fromSequence, AnswerListener listener) {
        Connection connection = new Connection(attemptId, listener);
        if (disconnected) {
            connection.fail(new TargetFailure.NotSent("no connection"));
            return connection;
        }
        return connection.attach(engine.resume(attemptId, fromSequence, connection));
    }

    @Override
    public CompletionStage<TargetReply<LoadReport>> fetchLoadReport() {
        return engine.fetchLoadReport();
    }

    @Override
    public CompletionStage<TargetReply<List<CacheEvent>>> fetchCacheEvents(long afterSequence) {
        return engine.fetchCacheEvents(afterSequence);
    }

    @Override
    public CompletionStage<TargetReply<KvReference>> exportKv(String attemptId) {
        return engine.exportKv(attemptId);
    }

    @Override
    public CompletionStage<OrderResult> sendOrder(EngineOrder _order) {
        return CompletableFuture.failedFuture(new IllegalStateException("no orders here"));
    }

    @Override
    public CompletionStage<TargetReply<EngineState>> fetchState() {
        return engine.fetchState();
    }

    /** One connection, compared by identity. */
    private final class Connection implements AnswerListener, AnswerStream {

        private final String attemptId;
        private final AnswerListener listener;
        private AnswerStream stream;
        private boolean ended;

        Connection(String attemptId, AnswerListener listener) {
            this.attemptId = attemptId;
            this.listener = listener;
        }

        AnswerStream attach(AnswerStream engineStream) {
            stream = engineStream;
            open.add(this);
            if (answersToLose > 0) {
                answersToLose--;
                open.remove(this);
                engine.detach(attemptId);
                fail(new TargetFailure.Broken("reset while waiting"));
            }
            return this;
        }

        void fail(TargetFailure failure) {
            ended = true;
            virtualTime.schedule(1, () -> process.deliver(() -> listener.onFailure(failure)));
        }

        @Override
        public void onChunk(AnswerChunk chunk) {
            if (ended) {
                return;
            }
            deliver(() -> listener.onChunk(chunk));
            if (unreliable && random.nextInt(4) == 0) {
                deliver(() -> listener.onChunk(chunk));
            }
            if (unreliable && random.nextInt(4) == 0) {
                Connection other = open.get(random.nextInt(open.size()));
                deliver(() -> other.listener.onChunk(chunk));
            }
        }

        @Override
        public void onComplete(TokenUsage usage, String finishReason) {
            if (!ended) {
                ended = true;
                open.remove(this);
                deliver(() -> listener.onComplete(usage, finishReason));
            }
        }

        @Override
        public void onFailure(TargetFailure failure) {
            if (!ended) {
                ended = true;
                open.remove(this);
                deliver(() -> listener.onFailure(failure));
            }
        }

        private void deliver(Runnable call) {
            long delayMillis = unreliable ? random.nextInt(40) : 1;
            virtualTime.schedule(delayMillis, () -> process.deliver(call));
        }

        @Override
        public void pauseReading() {
            if (stream != null) {
                stream.pauseReading();
            }
        }

        @Override
        public void resumeReading() {
            if (stream != null) {
                stream.resumeReading();
            }
        }

        @Override
        public void cancel() {
            ended = true;
            open.remove(this);
            if (stream != null) {
                stream.cancel();
            }
        }

        @Override
        public void detach() {
            ended = true;
            open.remove(this);
            if (stream != null) {
                stream.detach();
            }
        }
    }
}
