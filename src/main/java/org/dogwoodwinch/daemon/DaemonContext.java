package org.dogwoodwinch.daemon;

import io.netty.channel.EventLoopGroup;
import java.util.Objects;
import org.apache.commons.rng.UniformRandomProvider;
import org.dogwoodwinch.time.TimeSource;

/**
 * What a daemon gets from the process that it runs in.
 *
 * @param time gives the time and runs the timers, not null
 * @param group runs the I/O, not null; the process shuts it down after the daemon
 * @param random gives chance, not null; used while the daemon is made, by one thread
 */
public record DaemonContext(TimeSource time, EventLoopGroup group, UniformRandomProvider random) {

    /** Checks the parts. */
    public DaemonContext {
        Objects.requireNonNull(time, "time");
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(random, "random");
    }
}
