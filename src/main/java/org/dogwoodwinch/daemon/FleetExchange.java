package org.dogwoodwinch.daemon;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.dogwoodwinch.follow.FollowerPolicy;
import org.dogwoodwinch.follow.KeyedStream;
import org.dogwoodwinch.follow.KeyedWriter;
import org.dogwoodwinch.follow.ReplicaPolicy;
import org.dogwoodwinch.follow.StreamFollower;
import org.dogwoodwinch.forwarding.ConnectionShares;
import org.dogwoodwinch.forwarding.LoadTracker;
import org.dogwoodwinch.forwarding.Neighbour;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.net.Transport;
import org.dogwoodwinch.peer.MemberList;
import org.dogwoodwinch.peer.NettyPeerTransport;
import org.dogwoodwinch.peer.PeerMember;
import org.dogwoodwinch.peer.PeerObserver;
import org.dogwoodwinch.peer.PeerRefusal;
import org.dogwoodwinch.peer.PeerSettings;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.peer.RelayExchange;
import org.dogwoodwinch.peer.SuspicionExchange;
import org.dogwoodwinch.relay.ForwardingMetrics;
import org.dogwoodwinch.request.SuspectRegistry;
import org.dogwoodwinch.settings.ForwardingSettings;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges state between instances: the membership through the store; the calls in progress and the calls that crash
 * targets directly. Confined to one event loop.
 */
final class FleetExchange {

    private static final Logger log = LoggerFactory.getLogger(FleetExchange.class);

    /** Instances rarely start or stop; a long poll reduces the number of billed calls. */
    private static final long MEMBERS_LONG_POLL_MILLIS = 8_000;

    private static final long MEMBERS_PAUSE_MILLIS = 2_000;
    private static final int MAX_MESSAGE_BYTES = 262_144;
    private static final double BYTES_PER_MEGABIT = 125_000;

    /** Covers a reader's long poll, its pause and one lost update; no time limit depends on the membership. */
    private static final ReplicaPolicy MEMBERS_REPLICA_POLICY = new ReplicaPolicy(
            MEMBERS_LONG_POLL_MILLIS + MEMBERS_PAUSE_MILLIS + 2_000,
            500,
            3,
            MEMBERS_LONG_POLL_MILLIS,
            MEMBERS_PAUSE_MILLIS,
            MEMBERS_PAUSE_MILLIS);

    /** Much longer than a caller's retries last. */
    private static final long SUSPICION_TTL_MILLIS = 600_000;

    private static final long QUARANTINE_MILLIS = 600_000;

    private final ForwardingSettings settings;
    private final MemberList members;
    private final StreamFollower follower;
    private final NettyPeerTransport transport;
    private final RelayExchange exchange;
    private final StreamSharing streams;
    private final LoadSharing loadSharing;
    private final SuspectRegistry suspects;
    private List<PeerMember> neighbourMembers = List.of();
    private List<Neighbour> neighbours = List.of();

    FleetExchange(
            ForwardingSettings settings,
            Transport sockets,
            TimeSource time,
            UniformRandomProvider random,
            KeyedStream memberStream,
            KeyedWriter memberWriter,
            FollowerPolicy followerPolicy,
            LoadTracker loads,
            ForwardingMetrics metrics) {
        this.settings = settings;
        String name = settings.instance().name();
        this.members = new MemberList(name, memberWriter, time, settings.peers().renewMillis());
        this.transport = new NettyPeerTransport(sockets, MAX_MESSAGE_BYTES, Optional.empty(), Optional.empty());
        this.exchange = new RelayExchange(
                new PeerSettings(
                        name,
                        settings.instance().dataCentre(),
                        "",
                        settings.peers().roundMillis(),
                        settings.peers().neighboursCount(),
                        bytesPerSecond(settings),
                        MAX_MESSAGE_BYTES,
                        settings.instance().linkMbps()),
                time,
                transport,
                members::others,
                new TrafficMetrics(metrics));
        exchange.beforeEachRound(() -> metrics.setInstances(maxInstanceCount()));
        this.streams = new StreamSharing(exchange, time);
        this.follower = new StreamFollower(
                streams.share(MemberList.TOPIC, memberStream, MEMBERS_REPLICA_POLICY),
                new FollowerPolicy(
                        MEMBERS_LONG_POLL_MILLIS,
                        followerPolicy.pollIntervalMillis(),
                        followerPolicy.firstBackoffMillis(),
                        followerPolicy.maxBackoffMillis()),
                members,
                time,
                random);
        this.loadSharing = new LoadSharing(
                loads,
                exchange,
                time,
                name,
                settings.instance().dataCentre(),
                settings.peers().roundMillis());
        SuspicionExchange suspicions = new SuspicionExchange(exchange);
        this.suspects = new SuspectRegistry(time, SUSPICION_TTL_MILLIS, QUARANTINE_MILLIS, suspicions);
        suspicions.subscribe(suspects);
    }

    private static int bytesPerSecond(ForwardingSettings settings) {
        double linkMbps = settings.instance().linkMbps();
        return linkMbps > 0
                ? (int) Math.min(Integer.MAX_VALUE, linkMbps * settings.peers().linkShare() * BYTES_PER_MEGABIT)
                : Integer.MAX_VALUE;
    }

    /**
     * Returns how many instances may share a target's connections: the most members seen, but not fewer than the
     * settings state.
     */
    int maxInstanceCount() {
        return Math.max(
                settings.forwarding().mostInstancesCount(),
                members.maxMemberCount().orElse(1));
    }

    /** Returns the number of instances that share a target's connections. */
    int connectionSharerCount() {
        return ConnectionShares.sharingInstancesCount(
                members.maxMemberCount(), settings.forwarding().mostInstancesCount());
    }

    /** Returns this instance's share of a common limit; zero while the membership is unknown. */
    double ownShareOf(double total) {
        return members.maxMemberCount().isPresent() ? total / maxInstanceCount() : 0;
    }

    /** Returns the instances that consider each other members; empty while this instance is not sure of them. */
    Optional<Set<String>> assignmentMembers() {
        return members.assignmentMembers();
    }

    /** Returns the bus between the instances. */
    RelayExchange exchange() {
        return exchange;
    }

    /** Returns the streams that one instance of each data centre reads for the others. */
    StreamSharing streams() {
        return streams;
    }

    SuspectRegistry quarantine() {
        return suspects;
    }

    /**
     * Listens for connections of the other instances.
     *
     * @param address the address to listen at, not null
     * @return the entry by which the other instances reach this one
     */
    PeerMember listen(InetSocketAddress address) {
        int port = transport.listen(address, exchange::receive, exchange::onConnected);
        return new PeerMember(
                settings.instance().name(),
                address.getHostString(),
                port,
                settings.instance().dataCentre(),
                settings.instance().linkMbps());
    }

    /**
     * Lets the other instances pass calls on to this one. Called before {@link #listen}.
     *
     * @param acceptor adds the handlers that read calls to the channel of a connection, not null
     */
    void acceptCalls(Consumer<Channel> acceptor) {
        transport.acceptCalls(acceptor);
    }

    /** Returns the other instances, which may take over calls. The list is the same until one joins or leaves. */
    List<Neighbour> neighbours() {
        List<PeerMember> current = members.others();
        if (!current.equals(neighbourMembers)) {
            neighbourMembers = current;
            neighbours = current.stream()
                    .map(member -> new Neighbour(member.name(), member.host(), member.peerPort(), member.dataCentre()))
                    .toList();
        }
        return neighbours;
    }

    /** Announces this instance, and starts to send and receive updates. */
    void start(PeerMember self) {
        members.start(self);
        follower.start();
        exchange.start();
        loadSharing.start();
    }

    /**
     * Begins a new era of the store, which may have lost what was written last.
     *
     * @param era the era that the store stated
     */
    void beginEra(long era) {
        streams.beginEra(era);
        members.announceAgain();
    }

    /** Stops announcing this instance, and lets another one take over its tasks for the others. */
    void leave() {
        exchange.leave();
        members.leave();
    }

    /** Counts the bytes sent by topic, which shows what to reduce on a slow link. */
    private static final class TrafficMetrics implements PeerObserver {

        private final ForwardingMetrics metrics;
        private final Map<PeerTopic, LongConsumer> counters = new EnumMap<>(PeerTopic.class);

        TrafficMetrics(ForwardingMetrics metrics) {
            this.metrics = metrics;
        }

        @Override
        public void onEntrySent(PeerTopic topic, int entryBytes, int recipientCount) {
            counters.computeIfAbsent(
                            topic,
                            entryTopic ->
                                    metrics.peerBytesCounter(entryTopic.name().toLowerCase(Locale.ROOT)))
                    .accept((long) entryBytes * recipientCount);
        }

        @Override
        public void onTransitTime(long transitMillis) {
            metrics.setPeerDelayMillis(transitMillis);
        }

        @Override
        public void onEntryDropped(PeerTopic topic) {
            metrics.peerMessageDropped(topic.name().toLowerCase(Locale.ROOT));
        }

        @Override
        public void onRefused(PeerRefusal refusal) {
            LogEvent.of("peer_message_refused").with("reason", refusal.label()).warn(log);
        }
    }
}
