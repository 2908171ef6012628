package org.dogwoodwinch.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.peer.PeerBus;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.peer.PeerUpdate;
import org.dogwoodwinch.time.VirtualTimeSource;

/**
 * Simulates instances that share one limit over a board that loses, delays, duplicates and reorders messages. The seed
 * determines the whole schedule.
 */
final class LimitShareSimulation {

    static final int INSTANCE_COUNT = 6;
    static final int LIMIT_UNITS = 60;

    private static final String LIMIT_ID = "owner/chain/concurrent";
    private static final long TERM_MILLIS = 8_000;
    private static final long STEP_MILLIS = 100;

    private final VirtualTimeSource time = new VirtualTimeSource(0);
    private final UniformRandomProvider random;
    private final GrantExpiryRule grantExpiryRule;
    private final boolean waitsAfterRestart;
    private final List<SimulatedInstance> instances = new ArrayList<>();
    private final List<MessageInTransit> messagesInTransit = new ArrayList<>();
    private boolean faultsEnabled;

    LimitShareSimulation(long seed, GrantExpiryRule grantExpiryRule, boolean waitsAfterRestart) {
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.grantExpiryRule = grantExpiryRule;
        this.waitsAfterRestart = waitsAfterRestart;
        for (int i = 0; i < INSTANCE_COUNT; i++) {
            instances.add(new SimulatedInstance(i));
        }
    }

    /** Runs steps with random faults; returns the first after which more units than the limit were in use, or -1. */
    int firstStepExceedingLimit(int steps) {
        runInitialSteps();
        faultsEnabled = true;
        for (int step = 0; step < steps; step++) {
            injectRandomFault();
            step();
            if (instances.stream()
                            .mapToInt(instance -> instance.unitsInUse.size())
                            .sum()
                    > LIMIT_UNITS) {
                return step;
            }
        }
        return -1;
    }

    void runInitialSteps() {
        for (int i = 0; i < 30; i++) {
            step();
        }
    }

    void partition(int index) {
        instances.get(index).partitioned = true;
    }

    /** Lets a single instance request all units for a while; returns the peak number that it had in use. */
    int peakUnitsWithSoleDemand(int index) {
        instances.forEach(instance -> instance.requestedUnits = 0);
        for (int i = 0; i < 150; i++) {
            step();
        }
        instances.get(index).requestedUnits = LIMIT_UNITS;
        int peak = 0;
        for (int i = 0; i < 60; i++) {
            step();
            peak = Math.max(peak, instances.get(index).unitsInUse.size());
        }
        return peak;
    }

    private void injectRandomFault() {
        SimulatedInstance instance = instances.get(random.nextInt(INSTANCE_COUNT));
        switch (random.nextInt(24)) {
            case 0 -> instance.partitioned = !instance.partitioned;
            case 1 -> instance.pausedSteps = random.nextInt(120);
            case 2 -> instance.restart();
            case 3, 4, 5, 6 -> instance.requestedUnits = random.nextInt(LIMIT_UNITS + 1);
            case 7, 8 -> instance.requestedUnits = 0;
            default -> {}
        }
    }

    private void step() {
        time.advanceMillis(STEP_MILLIS);
        instances.forEach(SimulatedInstance::finishRequests);
        deliverDueMessages();
        instances.forEach(SimulatedInstance::runStep);
    }

    private void deliverDueMessages() {
        long nowMillis = time.monotonicMillis();
        for (MessageInTransit messageInTransit : List.copyOf(messagesInTransit)) {
            SimulatedInstance receiver = instances.get(messageInTransit.receiverIndex);
            if (messageInTransit.dueMillis <= nowMillis && receiver.pausedSteps == 0) {
                messagesInTransit.remove(messageInTransit);
                LimitShareMessageCodec.decode(messageInTransit.item.payload())
                        .ifPresent(message ->
                                receiver.exchange.onMessage(message, nowMillis - messageInTransit.sentMillis));
            }
        }
    }

    private void send(int senderIndex, Bytes payload) {
        for (int receiverIndex = 0; receiverIndex < INSTANCE_COUNT; receiverIndex++) {
            boolean partitioned = instances.get(senderIndex).partitioned || instances.get(receiverIndex).partitioned;
            boolean lost = partitioned || (faultsEnabled && random.nextInt(5) == 0);
            int copies = faultsEnabled && random.nextInt(10) == 0 ? 2 : 1;
            for (int copy = 0; receiverIndex != senderIndex && !lost && copy < copies; copy++) {
                long delayMillis = faultsEnabled && random.nextInt(8) == 0 ? random.nextInt(15_000) : 50;
                messagesInTransit.add(new MessageInTransit(
                        receiverIndex, time.monotonicMillis(), time.monotonicMillis() + delayMillis, payload));
            }
        }
    }

    private final class SimulatedInstance implements PeerBus {

        private final int index;
        private LimitShareExchange exchange;
        private final List<UnitInUse> unitsInUse = new ArrayList<>();
        private int requestedUnits;
        private int pausedSteps;
        private boolean partitioned;

        SimulatedInstance(int index) {
            this.index = index;
            start();
        }

        private void start() {
            LimitShareSettings settings = new LimitShareSettings(index, INSTANCE_COUNT, TERM_MILLIS, 500, 300);
            long waitMillis = waitsAfterRestart || time.monotonicMillis() == 0 ? settings.restartWaitMillis() : 0;
            exchange = new LimitShareExchange(
                    settings, this, time, 1 + time.monotonicMillis(), grantExpiryRule, waitMillis);
        }

        /** Ends all requests of the instance and starts it with a new incarnation. */
        void restart() {
            unitsInUse.clear();
            pausedSteps = 0;
            start();
        }

        /** Ends random requests unless the instance is paused, and all requests that reached their deadline. */
        void finishRequests() {
            long nowMillis = time.monotonicMillis();
            for (UnitInUse unitInUse : List.copyOf(unitsInUse)) {
                boolean finished = pausedSteps == 0 && random.nextInt(10) == 0;
                if (finished || nowMillis >= unitInUse.untilMillis) {
                    unitInUse.unit.release();
                    unitsInUse.remove(unitInUse);
                }
            }
        }

        void runStep() {
            if (pausedSteps > 0) {
                pausedSteps--;
                return;
            }
            LimitAllocation allocation = exchange.allocation(LIMIT_ID, LIMIT_UNITS);
            startRequests(allocation);
            allocation.setDemand(Math.max(0, requestedUnits - unitsInUse.size()), TERM_MILLIS);
            if (random.nextInt(3) == 0) {
                exchange.publish();
            }
        }

        private void startRequests(LimitAllocation allocation) {
            long nowMillis = time.monotonicMillis();
            while (unitsInUse.size() < requestedUnits) {
                long untilMillis = nowMillis + 500 + random.nextInt(5_000);
                Optional<LimitAllocation.AcquiredUnit> unit = allocation.tryAcquire(untilMillis, nowMillis);
                if (unit.isEmpty()) {
                    return;
                }
                unitsInUse.add(new UnitInUse(unit.get(), untilMillis));
            }
        }

        @Override
        public void publish(PeerTopic _topic, String _key, Bytes payload, long _keepMillis) {
            send(index, payload);
        }

        @Override
        public void subscribe(PeerTopic _topic, Consumer<PeerUpdate> _listener) {}
    }

    private record UnitInUse(LimitAllocation.AcquiredUnit unit, long untilMillis) {}

    private static final class MessageInTransit {

        private final int receiverIndex;
        private final long sentMillis;
        private final long dueMillis;
        private final PeerUpdate item;

        MessageInTransit(int receiverIndex, long sentMillis, long dueMillis, Bytes payload) {
            this.receiverIndex = receiverIndex;
            this.sentMillis = sentMillis;
            this.dueMillis = dueMillis;
            this.item = new PeerUpdate("peer", PeerTopic.DEMAND, "shares", sentMillis, payload, 0);
        }
    }
}
