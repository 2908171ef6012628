package org.dogwoodwinch.relay;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.forwarding.Incarnation;

/** Engine control that gets no usable response; tests override the methods that they need. */
public class UnresponsiveEngineControl implements EngineControl {

    @Override
    public Optional<KvCacheHandle> parseCacheHandle(Incarnation _prefillEngine, Bytes _body) {
        return Optional.empty();
    }

    @Override
    public void releaseCache(Incarnation _prefillEngine, KvCacheHandle _kvCache) {}

    @Override
    public CompletionStage<Optional<CacheChanges>> cacheChanges(Incarnation _engine, long _sinceNumber) {
        return CompletableFuture.completedFuture(Optional.empty());
    }

    @Override
    public CompletionStage<Optional<CacheSnapshot>> cacheSnapshot(Incarnation _engine) {
        return CompletableFuture.completedFuture(Optional.empty());
    }

    @Override
    public CompletionStage<Optional<OrderState>> orderState(Incarnation _engine) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletionStage<OrderOutcome> order(Incarnation _engine, StageOrder _order) {
        return new CompletableFuture<>();
    }
}
