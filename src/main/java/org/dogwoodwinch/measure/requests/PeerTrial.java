package org.dogwoodwinch.measure.requests;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.peer.GossipExchange;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.time.VirtualTimeSource;

/** Members that publish load and demand all the time, and one urgent word: bytes a second, and how soon all know. */
final class PeerTrial {

    /** What one trial found; {@code missed} members did not hear the word. */
    record Found(double bytesPerSecond, double cpuShare, long medianMillis, long lastMillis, int missed) {}

    private static final int LOAD_BYTES = 300;
    private static final int DEMAND_BYTES = 120;
    private static final int WARM_UP_SECONDS = 10;

    private PeerTrial() {}

    static Found run(int members, int seconds, long seed) {
        VirtualTimeSource time = new VirtualTimeSource(1_000_000);
        TrialPeers peers = new TrialPeers(members, time, seed);
        publish(peers, time, WARM_UP_SECONDS);
        List<Long> heardMillis = new ArrayList<>();
        long saidMillis = time.monotonicMillis();
        for (GossipExchange each : peers.exchanges().subList(1, members)) {
            each.subscribe(PeerTopic.QUARANTINE, _item -> heardMillis.add(time.monotonicMillis() - saidMillis));
        }
        peers.exchanges().get(0).publish(PeerTopic.QUARANTINE, "word", Bytes.of(new byte[48]), 600_000);
        long bytesBefore = peers.sentBytes();
        long cpuBefore = cpuNanos();
        publish(peers, time, seconds);
        double cpuShare = (cpuNanos() - cpuBefore) / 1e9 / seconds / members;
        double bytesPerSecond = 2.0 * (peers.sentBytes() - bytesBefore) / seconds / members;
        Collections.sort(heardMillis);
        long medianMillis = heardMillis.isEmpty() ? -1 : heardMillis.get(heardMillis.size() / 2);
        long lastMillis = heardMillis.isEmpty() ? -1 : heardMillis.get(heardMillis.size() - 1);
        return new Found(bytesPerSecond, cpuShare, medianMillis, lastMillis, members - 1 - heardMillis.size());
    }

    private static void publish(TrialPeers peers, VirtualTimeSource time, int seconds) {
        for (int second = 0; second < seconds; second++) {
            for (GossipExchange each : peers.exchanges()) {
                each.publish(PeerTopic.LOAD, "sent", Bytes.of(new byte[LOAD_BYTES]), 5_000);
                if (second % 2 == 0) {
                    each.publish(PeerTopic.DEMAND, "demand", Bytes.of(new byte[DEMAND_BYTES]), 10_000);
                }
            }
            time.advanceMillis(1_000);
        }
    }

    private static long cpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }
}
