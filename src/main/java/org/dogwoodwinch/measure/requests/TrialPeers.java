package org.dogwoodwinch.measure.requests;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.peer.GossipExchange;
import org.dogwoodwinch.peer.PeerMember;
import org.dogwoodwinch.peer.PeerObserver;
import org.dogwoodwinch.peer.PeerSettings;
import org.dogwoodwinch.time.TimeSource;

/** Members of an exchange in one process, with a millisecond between them. */
final class TrialPeers {

    private static final int MEMBERS_PER_DATA_CENTRE = 37;

    private final TimeSource time;
    private final List<PeerMember> members = new ArrayList<>();
    private final List<GossipExchange> exchanges = new ArrayList<>();
    private long sentBytes;

    TrialPeers(int count, TimeSource time, long seed) {
        this.time = time;
        for (int i = 0; i < count; i++) {
            String dataCentre = "dc-" + i / MEMBERS_PER_DATA_CENTRE;
            members.add(new PeerMember("entry-" + i, "127.0.0.1", i, dataCentre));
        }
        for (int i = 0; i < count; i++) {
            PeerMember member = members.get(i);
            exchanges.add(new GossipExchange(
                    PeerSettings.defaults(member.name(), member.dataCentre(), "trial"),
                    time,
                    RandomSource.XO_RO_SHI_RO_128_PP.create(seed + i),
                    this::carry,
                    () -> members,
                    PeerObserver.NONE));
        }
        exchanges.forEach(GossipExchange::start);
    }

    private void carry(PeerMember member, Bytes message) {
        sentBytes += message.length();
        time.schedule(1, () -> exchanges.get(member.peerPort()).receive(message));
    }

    List<GossipExchange> exchanges() {
        return exchanges;
    }

    long sentBytes() {
        return sentBytes;
    }
}
