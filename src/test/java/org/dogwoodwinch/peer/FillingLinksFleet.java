package org.dogwoodwinch.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.time.VirtualTimeSource;

/**
 * Simulates, in virtual time, the message exchange of a fleet whose links fill up: messages queue behind each other at
 * the sender's and at the recipient's link, for as long as their bytes take.
 */
final class FillingLinksFleet {

    static final long ROUND_MILLIS = 150;

    private static final double NARROW_MBPS = 10;
    private static final double WIDE_MBPS = 200;
    private static final double BYTES_PER_MILLI_AT_ONE_MBPS = 125;
    private static final double LINK_SHARE = 0.2;
    private static final long NETWORK_MILLIS = 1;
    private static final int FANOUT = 5;
    private static final int MAX_MESSAGE_BYTES = 262_144;
    private static final long STATE_TTL_MILLIS = 60_000;

    final VirtualTimeSource time = new VirtualTimeSource(1_000_000);
    final List<Node> nodes = new ArrayList<>();
    private final Map<String, Node> nodesByName = new HashMap<>();
    private final int stateBytes;
    private boolean storeSilent;

    /** Creates a fleet with some nodes in each data centre, of which the last have wide links. */
    FillingLinksFleet(int dataCentreCount, int nodesPerDataCentre, int widePerDataCentre, int stateBytes) {
        this.stateBytes = stateBytes;
        for (int dataCentre = 0; dataCentre < dataCentreCount; dataCentre++) {
            for (int i = 0; i < nodesPerDataCentre; i++) {
                boolean wide = i >= nodesPerDataCentre - widePerDataCentre;
                nodes.add(new Node("front-" + dataCentre + "-" + i, "dc" + dataCentre, wide ? WIDE_MBPS : NARROW_MBPS));
            }
        }
        nodes.forEach(node -> nodesByName.put(node.name, node));
        nodes.forEach(Node::start);
    }

    /** Silences the store: a process that starts doesn't learn the members, and those that leave remain listed. */
    void setStoreSilent(boolean storeSilent) {
        this.storeSilent = storeSilent;
        if (!storeSilent) {
            nodes.forEach(node -> node.knowsMembers = true);
            nodes.forEach(node -> node.listed = node.isRunning && !node.isLeaving);
        }
    }

    List<Node> inDataCentre(String dataCentre) {
        return nodes.stream().filter(node -> node.dataCentre.equals(dataCentre)).toList();
    }

    /** Returns the instances of a data centre in their succession order. */
    List<Node> inOrder(String dataCentre) {
        SuccessionOrder order = new SuccessionOrder(dataCentre, "", 0);
        order.updateLinks(nodes.stream().map(Node::asMember).toList());
        return inDataCentre(dataCentre).stream()
                .sorted((one, other) -> order.isPredecessor(dataCentre, one.name, other.name) ? -1 : 1)
                .toList();
    }

    /** An instance, whose processes follow each other. */
    final class Node {

        final String name;
        final String dataCentre;
        private final double linkMbps;
        private RelayExchange exchange;
        private int process;
        private boolean isRunning;
        boolean isLeaving;
        private boolean listed = true;
        private boolean knowsMembers = true;
        private double outboundFreeMillis;
        private double inboundFreeMillis;
        private final Set<String> connectedTo = new HashSet<>();

        Node(String name, String dataCentre, double linkMbps) {
            this.name = name;
            this.dataCentre = dataCentre;
            this.linkMbps = linkMbps;
        }

        /** Returns whether this instance sends to its whole data centre. */
        boolean actsAsRelay() {
            return isRunning && exchange.usesRelays() && exchange.isRelay();
        }

        /** Starts a process, which knows the members at once if the store answers. */
        void start() {
            int ownProcess = ++process;
            isRunning = true;
            isLeaving = false;
            knowsMembers = !storeSilent;
            listed |= !storeSilent;
            exchange = new RelayExchange(
                    new PeerSettings(
                            name,
                            dataCentre,
                            "",
                            ROUND_MILLIS,
                            FANOUT,
                            (int) (linkMbps * 1_000 * BYTES_PER_MILLI_AT_ONE_MBPS * LINK_SHARE),
                            MAX_MESSAGE_BYTES,
                            linkMbps),
                    time,
                    (to, message) -> {
                        if (isRunning && ownProcess == process) {
                            send(to, message);
                        }
                    },
                    this::members,
                    PeerObserver.NONE);
            exchange.addStateTransfer(PeerTopic.STREAM, this::state, STATE_TTL_MILLIS);
            exchange.subscribe(PeerTopic.STREAM, _update -> knowsMembers = true);
            // The rounds of the instances are not synchronized.
            time.schedule(Math.floorMod(name.hashCode() + 31L * process, ROUND_MILLIS), exchange::start);
        }

        /** Begins a planned stop. */
        void leave() {
            isLeaving = true;
            exchange.leave();
            if (!storeSilent) {
                listed = false;
            }
        }

        /** Ends the process; its connections end with it. */
        void end() {
            isRunning = false;
            isLeaving = false;
            process++;
            connectedTo.clear();
            nodes.forEach(other -> other.connectedTo.remove(name));
        }

        private Map<String, Bytes> state() {
            return knowsMembers ? new HashMap<>(Map.of("k", Bytes.of(new byte[stateBytes]))) : Map.of();
        }

        private List<PeerMember> members() {
            return !knowsMembers
                    ? List.of()
                    : nodes.stream()
                            .filter(other -> other != this && other.listed)
                            .map(Node::asMember)
                            .toList();
        }

        private PeerMember asMember() {
            return new PeerMember(name, "10.0.0.1", 1, dataCentre, linkMbps);
        }

        private void send(PeerMember to, Bytes message) {
            Node receiver = nodesByName.get(to.name());
            if (!receiver.isRunning) {
                return;
            }
            outboundFreeMillis =
                    Math.max(outboundFreeMillis, (double) time.monotonicMillis()) + transferMillis(message.length());
            int receivingProcess = receiver.process;
            schedule(outboundFreeMillis + NETWORK_MILLIS, () -> {
                receiver.inboundFreeMillis = Math.max(receiver.inboundFreeMillis, (double) time.monotonicMillis())
                        + receiver.transferMillis(message.length());
                schedule(receiver.inboundFreeMillis, () -> {
                    if (receiver.isRunning && receiver.process == receivingProcess) {
                        receiver.exchange.receive(message);
                    }
                });
            });
            if (connectedTo.add(to.name())) {
                RelayExchange connecting = exchange;
                time.schedule(NETWORK_MILLIS, () -> {
                    if (isRunning && exchange == connecting) {
                        connecting.onConnected(to);
                    }
                });
            }
        }

        private double transferMillis(int bytes) {
            return bytes / (linkMbps * BYTES_PER_MILLI_AT_ONE_MBPS);
        }

        private void schedule(double atMillis, Runnable task) {
            time.schedule((long) Math.ceil(atMillis) - time.monotonicMillis(), task);
        }
    }
}
