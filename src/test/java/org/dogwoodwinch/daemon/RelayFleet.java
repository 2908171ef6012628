package org.dogwoodwinch.daemon;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongUnaryOperator;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.follow.FollowerPolicy;
import org.dogwoodwinch.follow.KeyedRecord;
import org.dogwoodwinch.follow.KeyedStream;
import org.dogwoodwinch.follow.ReadResult;
import org.dogwoodwinch.follow.ReplicaPolicy;
import org.dogwoodwinch.follow.StreamFollower;
import org.dogwoodwinch.follow.StreamListener;
import org.dogwoodwinch.peer.PeerMember;
import org.dogwoodwinch.peer.PeerObserver;
import org.dogwoodwinch.peer.PeerSettings;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.peer.RelayExchange;
import org.dogwoodwinch.time.VirtualTimeSource;

/** Instances in several data centres that tell each other what one of each reads from a store, in virtual time. */
final class RelayFleet {

    private static final String STREAM = "keyed.x";
    private static final long STORE_MILLIS = 4;
    private static final long TIMEOUT_MILLIS = 700;
    private static final int ROUND_MILLIS = 150;
    /** A fifth of a link of 7 Mbit/s. */
    private static final int LINK_SHARE_BYTES_PER_SECOND = 175_000;

    private static final FollowerPolicy FOLLOW = new FollowerPolicy(600, 100, 50, 500);
    private static final ReplicaPolicy TOLD = new ReplicaPolicy(1_100, 75, 3);

    final VirtualTimeSource time = new VirtualTimeSource(1_000_000);
    final List<Member> members = new ArrayList<>();
    private final UniformRandomProvider random;
    private final List<Long> writtenAtMillis = new ArrayList<>();
    private final List<Runnable> storeWaiters = new ArrayList<>();
    final Map<String, Integer> storeCalls = new HashMap<>();
    int storeCallsCount;
    long messagesCount;
    long messageBytes;

    RelayFleet(int membersCount, int centresCount, long seed) {
        this(
                IntStream.range(0, membersCount)
                        .mapToObj(i -> "dc" + i % centresCount)
                        .toList(),
                seed);
    }

    /** One instance for each entry, in the data centre that it names. */
    RelayFleet(List<String> dataCentres, long seed) {
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (int i = 0; i < dataCentres.size(); i++) {
            members.add(new Member("i" + i, dataCentres.get(i)));
        }
        members.forEach(Member::start);
    }

    /** Writes one more record; the store acknowledges it now. */
    void write() {
        writtenAtMillis.add(time.monotonicMillis());
        List<Runnable> woken = List.copyOf(storeWaiters);
        storeWaiters.clear();
        woken.forEach(Runnable::run);
    }

    long writtenAtMillis(long offset) {
        return writtenAtMillis.get((int) offset);
    }

    /** The instance that reads for its data centre. */
    Member relay(String dataCentre) {
        return members.stream()
                .filter(member -> member.dataCentre.equals(dataCentre) && member.exchange.isRelay())
                .findFirst()
                .orElseThrow();
    }

    /** One instance, with switches for what fails. */
    final class Member {

        final String name;
        final String dataCentre;
        RelayExchange exchange;
        final Map<Long, Long> appliedAtMillis = new HashMap<>();
        private StreamFollower follower;
        private int life;
        private final Set<String> connectedTo = new HashSet<>();
        /** Whether it knows the addresses of the others without having read or heard them. */
        boolean knowsOthers = true;

        /** How long a message waits on its way out by now, in order, as behind what fills the link. */
        LongUnaryOperator waitMillisAt = _nowMillis -> 0;

        private long lastArrivalMillis;

        /** What it sent to the others since the fleet began. */
        long sentBytes;

        /** What it told the others since the fleet began, by topic. */
        final Map<PeerTopic, Long> toldBytes = new EnumMap<>(PeerTopic.class);

        /** How long an answer of the store takes to come back to this instance. */
        long storeAnswerMillis = STORE_MILLIS;

        boolean storeCut;
        boolean deaf;
        boolean mute;
        boolean frozen;
        private final List<Runnable> whileFrozen = new ArrayList<>();

        Member(String name, String dataCentre) {
            this.name = name;
            this.dataCentre = dataCentre;
            begin();
        }

        private void begin() {
            int ownLife = ++life;
            this.exchange = new RelayExchange(
                    new PeerSettings(name, dataCentre, "", ROUND_MILLIS, 8, LINK_SHARE_BYTES_PER_SECOND, 262_144),
                    time,
                    (to, message) -> {
                        if (ownLife == life) {
                            send(to, message);
                        }
                    },
                    () -> members.stream()
                            .filter(other -> other != this && knowsOthers)
                            .map(other -> new PeerMember(other.name, "10.0.0.1", 1, other.dataCentre))
                            .toList(),
                    new Told(toldBytes));
            StreamSharing sharing = new StreamSharing(exchange, time);
            this.follower = new StreamFollower(
                    sharing.share(STREAM, new Store(this), TOLD), FOLLOW, new Applied(this), time, random);
        }

        void start() {
            follower.start();
            exchange.start();
        }

        /** Loses power and starts anew: it knows nothing, and each connection to it is a new one. */
        void restart() {
            appliedAtMillis.clear();
            connectedTo.clear();
            members.forEach(other -> other.connectedTo.remove(name));
            begin();
            start();
        }

        /** All of it, both ways: as a process that is killed, but for what it believes of itself. */
        void dead(boolean dead) {
            storeCut = dead;
            deaf = dead;
            mute = dead;
        }

        /** What arrives or answers meanwhile comes when it is thawed. */
        void frozen(boolean now) {
            frozen = now;
            if (!now) {
                List<Runnable> late = List.copyOf(whileFrozen);
                whileFrozen.clear();
                late.forEach(Runnable::run);
            }
        }

        private void awake(Runnable task) {
            if (frozen) {
                whileFrozen.add(task);
            } else {
                task.run();
            }
        }

        private void send(PeerMember to, Bytes message) {
            if (mute || frozen) {
                return;
            }
            if (connectedTo.add(to.name())) {
                exchange.onConnected(to);
            }
            messagesCount++;
            messageBytes += message.length();
            sentBytes += message.length();
            Member receiver = members.stream()
                    .filter(member -> member.name.equals(to.name()))
                    .findFirst()
                    .orElseThrow();
            time.schedule(onTheWayMillis(), () -> {
                if (!receiver.deaf) {
                    receiver.awake(() -> receiver.exchange.receive(message));
                }
            });
        }

        private long onTheWayMillis() {
            long nowMillis = time.monotonicMillis();
            long undisturbedMillis = 1L + random.nextInt(3);
            long waitMillis = waitMillisAt.applyAsLong(nowMillis);
            if (waitMillis == 0) {
                return undisturbedMillis;
            }
            lastArrivalMillis = Math.max(lastArrivalMillis, nowMillis + waitMillis + undisturbedMillis);
            return lastArrivalMillis - nowMillis;
        }
    }

    private static final class Told implements PeerObserver {

        private final Map<PeerTopic, Long> bytes;

        Told(Map<PeerTopic, Long> bytes) {
            this.bytes = bytes;
        }

        @Override
        public void onEntrySent(PeerTopic topic, int entryBytes, int recipientCount) {
            bytes.merge(topic, (long) entryBytes * recipientCount, Long::sum);
        }
    }

    private final class Store implements KeyedStream {

        private final Member reader;

        Store(Member reader) {
            this.reader = reader;
        }

        @Override
        public CompletionStage<ReadResult> readSnapshotPage(Optional<String> _afterKey) {
            return call(0, () -> new ReadResult.Page(List.of(), false, 0));
        }

        @Override
        public CompletionStage<ReadResult> read(long fromOffset, long waitMillis) {
            storeCallsCount++;
            storeCalls.merge(reader.name, 1, Integer::sum);
            CompletableFuture<ReadResult> result = new CompletableFuture<>();
            Runnable[] answer = new Runnable[1];
            answer[0] = () -> {
                storeWaiters.remove(answer[0]);
                call(0, () -> batch(fromOffset)).thenAccept(result::complete);
            };
            if (fromOffset < writtenAtMillis.size()) {
                answer[0].run();
            } else {
                storeWaiters.add(answer[0]);
                time.schedule(waitMillis, () -> {
                    if (storeWaiters.contains(answer[0])) {
                        answer[0].run();
                    }
                });
            }
            return result;
        }

        private ReadResult batch(long fromOffset) {
            List<KeyedRecord> records = new ArrayList<>();
            for (long offset = fromOffset; offset < writtenAtMillis.size(); offset++) {
                records.add(new KeyedRecord("k" + offset, offset, Optional.of(Bytes.ofUtf8("v"))));
            }
            return new ReadResult.Batch(records, Math.max(fromOffset, writtenAtMillis.size()));
        }

        private CompletionStage<ReadResult> call(long waitMillis, Supplier<ReadResult> answered) {
            CompletableFuture<ReadResult> result = new CompletableFuture<>();
            boolean cut = reader.storeCut;
            ReadResult written = cut ? new ReadResult.Unavailable("timeout") : answered.get();
            time.schedule(
                    waitMillis + (cut ? TIMEOUT_MILLIS : reader.storeAnswerMillis),
                    () -> reader.awake(() -> result.complete(written)));
            return result;
        }
    }

    private final class Applied implements StreamListener {

        private final Member member;

        Applied(Member member) {
            this.member = member;
        }

        @Override
        public void onRecord(KeyedRecord record) {
            member.appliedAtMillis.putIfAbsent(record.offset(), time.monotonicMillis());
        }

        @Override
        public void onSnapshotComplete(Set<String> _keys, long _endOffset) {}

        @Override
        public void onReconnected() {}

        @Override
        public void onDisconnected(String _reason) {}
    }
}
