package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.UnaryOperator;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.Neighbour;

/** Carries the calls that the instance of a test passes on to the instances of the same test, in memory. */
final class NeighbourLinks {

    /** The instances that do not accept connections. */
    final Set<String> unreachableNames = new HashSet<>();

    /** The instances that answer no attempt to connect, which fails after its time-out. */
    final Set<String> silentNames = new HashSet<>();

    /** The instances that have told that they are cut off from all targets. */
    final Set<String> isolatedNames = new HashSet<>();

    /** What this instance told the others about itself. */
    final List<Boolean> toldIsolation = new ArrayList<>();

    /** Changes what the other instances answer. */
    UnaryOperator<String> rewrite = UnaryOperator.identity();

    private static final int CONNECT_TIMEOUT_MILLIS = 300;

    private final List<Neighbour> neighbours = new ArrayList<>();
    private final Map<String, TakenOverCalls> acceptors = new HashMap<>();
    private final Map<String, RelayFixture> instances = new HashMap<>();
    private final List<Link> links = new ArrayList<>();

    Neighbours asNeighbours() {
        return new Neighbours(this::connect, "dc-1", () -> neighbours, () -> isolatedNames, toldIsolation::add);
    }

    void add(String name, RelayFixture instance) {
        add(name, instance, "dc-1");
    }

    void add(String name, RelayFixture instance, String dataCentre) {
        neighbours.add(new Neighbour(name, "10.9.9.9", 7_000, dataCentre));
        instances.put(name, instance);
        acceptors.put(name, new TakenOverCalls(instance.service, instance.time));
    }

    private void connect(Incarnation neighbour, ChannelHandler handler, TargetConnector.Outcome outcome) {
        if (unreachableNames.contains(neighbour.id())) {
            outcome.failed();
            return;
        }
        if (silentNames.contains(neighbour.id())) {
            instances.get(neighbour.id()).time.schedule(CONNECT_TIMEOUT_MILLIS, outcome::failed);
            return;
        }
        TakenOverCalls acceptor = acceptors.get(neighbour.id());
        EmbeddedChannel remote = new EmbeddedChannel(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel added) {
                acceptor.accept(added);
            }
        });
        links.add(new Link(new EmbeddedChannel(handler), remote));
        outcome.connected();
    }

    /** Carries all bytes and closes that are under way. */
    void deliver() {
        boolean progress = true;
        while (progress) {
            progress = false;
            for (Link link : List.copyOf(links)) {
                progress |= link.deliver(rewrite);
            }
        }
    }

    /** Breaks the connection that was opened last, as when the other instance is killed. */
    void breakLatest() {
        links.get(links.size() - 1).local.close().syncUninterruptibly();
    }

    int openLinksCount() {
        return (int) links.stream().filter(link -> link.local.isActive()).count();
    }

    private record Link(EmbeddedChannel local, EmbeddedChannel remote) {

        boolean deliver(UnaryOperator<String> rewrite) {
            boolean sent = move(local, remote, UnaryOperator.identity());
            boolean progress = move(remote, local, rewrite) || sent;
            if (local.isActive() != remote.isActive()) {
                local.close().syncUninterruptibly();
                remote.close().syncUninterruptibly();
                progress = true;
            }
            return progress;
        }

        private static boolean move(EmbeddedChannel from, EmbeddedChannel to, UnaryOperator<String> rewrite) {
            from.runPendingTasks();
            boolean moved = false;
            ByteBuf bytes = from.readOutbound();
            while (bytes != null) {
                moved = true;
                String text = rewrite.apply(bytes.toString(StandardCharsets.ISO_8859_1));
                bytes.release();
                if (to.isActive()) {
                    to.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
                }
                bytes = from.readOutbound();
            }
            to.runPendingTasks();
            return moved;
        }
    }
}
