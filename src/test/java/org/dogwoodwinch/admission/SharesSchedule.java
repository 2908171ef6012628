package org.dogwoodwinch.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.peer.PeerBoard;
import org.dogwoodwinch.peer.PeerItem;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.time.VirtualTimeSource;

/** Instances that share one limit over a board that loses, delays and doubles notes; one seed, one schedule. */
final class SharesSchedule {

    static final int INSTANCES = 6;
    static final int LIMIT = 60;

    private static final String LIMIT_ID = "owner/chain/concurrent";
    private static final long TERM_MILLIS = 8_000;
    private static final long STEP_MILLIS = 100;

    private final VirtualTimeSource time = new VirtualTimeSource(0);
    private final UniformRandomProvider random;
    private final GrantTerm grantTerm;
    private final boolean restartWait;
    private final List<Member> members = new ArrayList<>();
    private final List<Letter> letters = new ArrayList<>();
    private boolean faults;

    SharesSchedule(long seed, GrantTerm grantTerm, boolean restartWait) {
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.grantTerm = grantTerm;
        this.restartWait = restartWait;
        for (int i = 0; i < INSTANCES; i++) {
            members.add(new Member(i));
        }
    }

    /** Runs random steps; returns the first one after which more than the limit was in use, or -1. */
    int firstStepOverLimit(int steps) {
        settle();
        faults = true;
        for (int step = 0; step < steps; step++) {
            randomFault();
            step();
            if (members.stream().mapToInt(member -> member.uses.size()).sum() > LIMIT) {
                return step;
            }
        }
        return -1;
    }

    void settle() {
        for (int i = 0; i < 30; i++) {
            step();
        }
    }

    void cutOff(int index) {
        members.get(index).cutOff = true;
    }

    /** Lets one instance alone ask for everything for a while; returns the most it had in use. */
    int unitsReachedAlone(int index) {
        members.forEach(member -> member.wanted = 0);
        for (int i = 0; i < 150; i++) {
            step();
        }
        members.get(index).wanted = LIMIT;
        int most = 0;
        for (int i = 0; i < 60; i++) {
            step();
            most = Math.max(most, members.get(index).uses.size());
        }
        return most;
    }

    private void randomFault() {
        Member member = members.get(random.nextInt(INSTANCES));
        switch (random.nextInt(24)) {
            case 0 -> member.cutOff = !member.cutOff;
            case 1 -> member.pausedSteps = random.nextInt(120);
            case 2 -> member.restart();
            case 3, 4, 5, 6 -> member.wanted = random.nextInt(LIMIT + 1);
            case 7, 8 -> member.wanted = 0;
            default -> {}
        }
    }

    private void step() {
        time.advanceMillis(STEP_MILLIS);
        members.forEach(Member::endUses);
        deliverDue();
        members.forEach(Member::act);
    }

    private void deliverDue() {
        long nowMillis = time.monotonicMillis();
        for (Letter letter : List.copyOf(letters)) {
            Member to = members.get(letter.to);
            if (letter.dueMillis <= nowMillis && to.pausedSteps == 0) {
                letters.remove(letter);
                ShareNoteCodec.decode(letter.item.payload())
                        .ifPresent(note -> to.exchange.onNote(note, nowMillis - letter.sentMillis));
            }
        }
    }

    private void send(int from, Bytes payload) {
        for (int to = 0; to < INSTANCES; to++) {
            boolean cut = members.get(from).cutOff || members.get(to).cutOff;
            boolean lost = cut || (faults && random.nextInt(5) == 0);
            int copies = faults && random.nextInt(10) == 0 ? 2 : 1;
            for (int copy = 0; to != from && !lost && copy < copies; copy++) {
                long delayMillis = faults && random.nextInt(8) == 0 ? random.nextInt(15_000) : 50;
                letters.add(new Letter(to, time.monotonicMillis(), time.monotonicMillis() + delayMillis, payload));
            }
        }
    }

    private final class Member implements PeerBoard {

        private final int index;
        private ShareExchange exchange;
        private final List<InUse> uses = new ArrayList<>();
        private int wanted;
        private int pausedSteps;
        private boolean cutOff;

        Member(int index) {
            this.index = index;
            start();
        }

        private void start() {
            ShareSettings settings = new ShareSettings(index, INSTANCES, TERM_MILLIS, 500, 300);
            long waitMillis = restartWait || time.monotonicMillis() == 0 ? settings.restartWaitMillis() : 0;
            exchange = new ShareExchange(settings, this, time, 1 + time.monotonicMillis(), grantTerm, waitMillis);
        }

        /** What the dead instance ran ends with it. */
        void restart() {
            uses.clear();
            pausedSteps = 0;
            start();
        }

        /** Requests end by their deadline at the latest, whether or not the instance is paused. */
        void endUses() {
            long nowMillis = time.monotonicMillis();
            for (InUse use : List.copyOf(uses)) {
                boolean done = pausedSteps == 0 && random.nextInt(10) == 0;
                if (done || nowMillis >= use.untilMillis) {
                    use.use.release();
                    uses.remove(use);
                }
            }
        }

        void act() {
            if (pausedSteps > 0) {
                pausedSteps--;
                return;
            }
            ShareLedger ledger = exchange.ledger(LIMIT_ID, LIMIT);
            startUses(ledger);
            ledger.setWaiting(Math.max(0, wanted - uses.size()), TERM_MILLIS);
            if (random.nextInt(3) == 0) {
                exchange.publish();
            }
        }

        private void startUses(ShareLedger ledger) {
            long nowMillis = time.monotonicMillis();
            while (uses.size() < wanted) {
                long untilMillis = nowMillis + 500 + random.nextInt(5_000);
                Optional<ShareLedger.Use> use = ledger.tryUse(untilMillis, nowMillis);
                if (use.isEmpty()) {
                    return;
                }
                uses.add(new InUse(use.get(), untilMillis));
            }
        }

        @Override
        public void publish(PeerTopic _topic, String _key, Bytes payload, long _keepMillis) {
            send(index, payload);
        }

        @Override
        public void subscribe(PeerTopic _topic, Consumer<PeerItem> _listener) {}
    }

    private record InUse(ShareLedger.Use use, long untilMillis) {}

    private static final class Letter {

        private final int to;
        private final long sentMillis;
        private final long dueMillis;
        private final PeerItem item;

        Letter(int to, long sentMillis, long dueMillis, Bytes payload) {
            this.to = to;
            this.sentMillis = sentMillis;
            this.dueMillis = dueMillis;
            this.item = new PeerItem("peer", PeerTopic.DEMAND, "shares", sentMillis, payload, 0);
        }
    }
}
