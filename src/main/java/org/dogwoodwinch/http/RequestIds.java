package org.dogwoodwinch.http;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.dogwoodwinch.time.TimeSource;

/**
 * Makes request ids that no other instance and no earlier process makes.
 *
 * <p>Answers are matched by id, so two equal ids could cross two answers. The instance's name tells instances apart, the
 * start time with a random part tells two processes of one name apart, and the count tells requests apart.
 */
public final class RequestIds implements Supplier<String> {

    private static final int RADIX = 36;

    private final String prefix;
    private final AtomicLong count = new AtomicLong();

    /**
     * Creates a maker.
     *
     * @param instanceName this instance's name, not null
     * @param time gives the start time, not null
     * @param random gives the random part, not null
     */
    public RequestIds(String instanceName, TimeSource time, UniformRandomProvider random) {
        String started = Long.toString(time.wallMillis(), RADIX);
        String chance = Integer.toString(random.nextInt(Integer.MAX_VALUE), RADIX);
        this.prefix = instanceName + "-" + started + chance + "-";
    }

    @Override
    public String get() {
        return prefix + Long.toString(count.incrementAndGet(), RADIX);
    }
}
