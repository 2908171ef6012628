package org.dogwoodwinch.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class SuccessionOrderTest {

    private static final String DATA_CENTRE = "dc";

    private static List<PeerMember> membersWithLinks(int narrowCount, int wideCount) {
        List<PeerMember> members = new ArrayList<>();
        for (int i = 0; i < narrowCount; i++) {
            members.add(new PeerMember("narrow-" + i, "10.0.0.1", 1, DATA_CENTRE, 7));
        }
        for (int i = 0; i < wideCount; i++) {
            members.add(new PeerMember("wide-" + i, "10.0.0.1", 1, DATA_CENTRE, 140));
        }
        return members;
    }

    private static SuccessionOrder orderSeenBy(PeerMember own, List<PeerMember> all) {
        SuccessionOrder succession = new SuccessionOrder(DATA_CENTRE, own.name(), own.linkMbps());
        succession.updateLinks(all.stream().filter(other -> !other.equals(own)).toList());
        return succession;
    }

    /** Guards against a relay on a narrow link, which delays its calls, while others have 20 times the bandwidth. */
    @Test
    void narrowLinkIsNotFirstWhileWideLinkExists() {
        for (int wideCount = 1; wideCount <= 3; wideCount++) {
            List<PeerMember> all = membersWithLinks(20, wideCount);
            PeerMember first =
                    orderSeenBy(all.get(0), all).first(DATA_CENTRE, all).orElseThrow();

            assertEquals(140, first.linkMbps());
            assertEquals(0, orderSeenBy(first, all).ownRank(all));
            for (PeerMember each : all) {
                assertEquals(
                        first, orderSeenBy(each, all).first(DATA_CENTRE, all).orElseThrow(), "seen by " + each.name());
                assertTrue(
                        each.equals(first) || orderSeenBy(each, all).isPredecessor(first.name()),
                        "seen by " + each.name());
            }
        }
    }

    @Test
    void ranksAreUnique() {
        List<PeerMember> all = membersWithLinks(6, 2);

        assertEquals(
                List.of(0, 1, 2, 3, 4, 5, 6, 7),
                all.stream()
                        .map(each -> orderSeenBy(each, all)
                                .ownRank(all.stream()
                                        .filter(other -> !other.equals(each))
                                        .toList()))
                        .sorted()
                        .toList());
    }

    @Test
    void unknownInstanceComesLast() {
        List<PeerMember> all = membersWithLinks(3, 0);

        assertTrue(all.stream().noneMatch(each -> orderSeenBy(each, all).isPredecessor("unknown")));
    }
}
