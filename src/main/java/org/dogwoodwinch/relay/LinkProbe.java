package org.dogwoodwinch.relay;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import org.apache.commons.rng.UniformRandomProvider;
import org.dogwoodwinch.forwarding.LinkDelay;
import org.dogwoodwinch.forwarding.LinkProbeChooser;
import org.dogwoodwinch.forwarding.Neighbour;
import org.dogwoodwinch.http.Channels;
import org.dogwoodwinch.time.TimeSource;

/**
 * Measures the delay of this instance's own link by connections to other instances, which it closes at once. Confined
 * to one event loop.
 */
final class LinkProbe {

    private final Neighbours neighbours;
    private final UniformRandomProvider random;
    private final TimeSource time;

    /**
     * Creates a probe that connects to nothing before {@link #start}.
     *
     * @param neighbours the other instances, not null
     * @param random chooses among them, not null
     * @param time the clock, not null
     */
    LinkProbe(Neighbours neighbours, UniformRandomProvider random, TimeSource time) {
        this.neighbours = Objects.requireNonNull(neighbours, "neighbours");
        this.random = Objects.requireNonNull(random, "random");
        this.time = Objects.requireNonNull(time, "time");
    }

    /**
     * Starts a measurement.
     *
     * @param onDelay run at most once, when a connection was open or refused for the first time, possibly before this
     *     method returns, not null
     * @return the measurement, whose delay may be read at any time
     */
    Measurement start(Runnable onDelay) {
        List<Neighbour> chosen = LinkProbeChooser.choose(neighbours.others().get(), neighbours.ownDataCentre(), random);
        Measurement measurement = new Measurement(chosen.size(), time.monotonicMillis(), onDelay);
        chosen.forEach(measurement::connect);
        return measurement;
    }

    /** The connections of one measurement. */
    final class Measurement {

        private final int startedCount;
        private final long startMillis;
        private final Runnable onDelay;
        private OptionalLong shortestMillis = OptionalLong.empty();

        private Measurement(int startedCount, long startMillis, Runnable onDelay) {
            this.startedCount = startedCount;
            this.startMillis = startMillis;
            this.onDelay = onDelay;
        }

        /** Returns the delay as far as it is known. */
        LinkDelay delay() {
            return new LinkDelay(startedCount, shortestMillis);
        }

        private void connect(Neighbour neighbour) {
            ClosedConnection connection = new ClosedConnection();
            neighbours
                    .connector()
                    .connect(NeighbourCalls.asTarget(neighbour), connection, new TargetConnector.Outcome() {
                        @Override
                        public void connected() {
                            connection.close();
                            recordDelay();
                        }

                        @Override
                        public void failed() {
                            recordDelay();
                        }
                    });
        }

        private void recordDelay() {
            if (shortestMillis.isEmpty()) {
                shortestMillis = OptionalLong.of(time.monotonicMillis() - startMillis);
                onDelay.run();
            }
        }
    }

    /** A connection that carries nothing. */
    private static final class ClosedConnection extends ChannelInboundHandlerAdapter {

        private ChannelHandlerContext context;

        @Override
        public void handlerAdded(ChannelHandlerContext added) {
            context = added;
        }

        void close() {
            Channels.close(context.channel());
        }
    }
}
