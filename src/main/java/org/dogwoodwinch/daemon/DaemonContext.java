package org.dogwoodwinch.daemon;

import io.netty.channel.EventLoopGroup;
import java.util.Objects;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.dogwoodwinch.time.TimeSource;

/**
 * What a daemon gets from the process that it runs in.
 *
 * @param time gives the time and runs the timers, not null
 * @param eventLoopGroup runs the I/O, not null; the process shuts it down after the daemon
 * @param randomFactory makes sources of chance, one for each part that needs one, not null
 */
public record DaemonContext(TimeSource time, EventLoopGroup eventLoopGroup, Supplier<UniformRandomProvider> randomFactory) {

    /** Checks the parts. */
    public DaemonContext {
        Objects.requireNonNull(time, "time");
        Objects.requireNonNull(eventLoopGroup, "eventLoopGroup");
        Objects.requireNonNull(randomFactory, "randomFactory");
    }

    /**
     * Makes a source of chance.
     *
     * @return the source; not thread-safe, so each part has its own
     */
    public UniformRandomProvider newRandom() {
        return randomFactory.get();
    }
}
