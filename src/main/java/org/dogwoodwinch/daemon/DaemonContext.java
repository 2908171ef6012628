package org.dogwoodwinch.daemon;

import io.netty.channel.EventLoopGroup;
import java.util.Objects;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.dogwoodwinch.time.TimeSource;

/**
 * The resources that the process provides to a daemon.
 *
 * @param time the clock and timers, not null
 * @param eventLoopGroup the event loops for network I/O, not null; the process shuts it down after the daemon
 * @param randomFactory creates random generators, one for each component that needs one, not null
 */
public record DaemonContext(
        TimeSource time, EventLoopGroup eventLoopGroup, Supplier<UniformRandomProvider> randomFactory) {

    /** Validates that no component is null. */
    public DaemonContext {
        Objects.requireNonNull(time, "time");
        Objects.requireNonNull(eventLoopGroup, "eventLoopGroup");
        Objects.requireNonNull(randomFactory, "randomFactory");
    }

    /**
     * Creates a random generator.
     *
     * @return the generator; it is not thread-safe, so each component has its own
     */
    public UniformRandomProvider newRandom() {
        return randomFactory.get();
    }
}
