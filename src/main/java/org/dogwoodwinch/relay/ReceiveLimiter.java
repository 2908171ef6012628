package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.util.UncheckedBooleanSupplier;

/**
 * Allocates the receive buffers of one connection, and those of a single byte once no request may be read any more.
 *
 * <p>Failure: a connection that closes has to be read from, since the caller's own close is not detected otherwise, and
 * a request that arrives meanwhile is read whole and gets no answer. A single byte shows which of both has arrived.
 */
final class ReceiveLimiter implements RecvByteBufAllocator {

    private final RecvByteBufAllocator unlimited = new AdaptiveRecvByteBufAllocator();
    private boolean inUse;
    private boolean limited;

    /** Returns whether the connection uses this allocator; not if it was read from before it had it. */
    boolean isInUse() {
        return inUse;
    }

    /**
     * Limits reads to single bytes from now on.
     *
     * @return whether that takes effect, see {@link #isInUse}
     */
    boolean limit() {
        limited = true;
        return inUse;
    }

    @Override
    public ExtendedHandle newHandle() {
        inUse = true;
        return new LimitedHandle((ExtendedHandle) unlimited.newHandle());
    }

    private final class LimitedHandle extends DelegatingHandle implements ExtendedHandle {

        private final ExtendedHandle adaptive;

        LimitedHandle(ExtendedHandle adaptive) {
            super(adaptive);
            this.adaptive = adaptive;
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator allocator) {
            return limited ? allocator.ioBuffer(1, 1) : adaptive.allocate(allocator);
        }

        @Override
        public int guess() {
            return limited ? 1 : adaptive.guess();
        }

        @Override
        public boolean continueReading(UncheckedBooleanSupplier mayHaveMore) {
            return adaptive.continueReading(mayHaveMore);
        }
    }
}
