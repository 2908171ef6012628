package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.peer.PeerTopic;
import org.junit.jupiter.api.Test;

/** One instance's messages wait behind what fills its link, and all arrive, in order. */
class LateWaysTest {

    /** Nine tenths of the least time in which a leaving target has to be heeded everywhere. */
    private static final long BOUND_MILLIS = 1_800;

    private static final long ROUND_MILLIS = 150;
    private static final long LATE_MILLIS = 1_500;

    /** Later than a relay is missed, and not so late that its sign of life is of no use any more. */
    private static final long MISSED_MILLIS = 1_440;

    /** The late relay, the next in order that takes over, and one that had not heard that one yet. */
    private static final int MOST_ACTING = 3;

    /** Each late word put the silent relay back in its successor's place, and everybody took itself for the relay. */
    @Test
    void lateWordsOfARelayDoNotMakeAllOthersRelays() {
        RelayFleet fleet = new RelayFleet(40, 2, 11);
        fleet.time.advanceMillis(5_000);
        RelayFleet.Member late = fleet.relay("dc0");
        late.waitMillisAt = _nowMillis -> MISSED_MILLIS;
        fleet.time.advanceMillis(5_000);
        // Instances' rounds are not in step.
        fleet.members.stream()
                .filter(member -> member.dataCentre.equals("dc0") && member != late && member.exchange.isRelay())
                .forEach(next -> next.waitMillisAt = _nowMillis -> ROUND_MILLIS);
        fleet.time.advanceMillis(5_000);

        long messagesBefore = fleet.messagesCount;
        List<Long> acting = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            fleet.time.advanceMillis(ROUND_MILLIS / 2);
            acting.add(fleet.members.stream()
                    .filter(member -> member.dataCentre.equals("dc0") && member.exchange.isRelay())
                    .count());
        }

        assertTrue(
                acting.stream().allMatch(count -> count <= MOST_ACTING),
                acting + ", messages in 3 s " + (fleet.messagesCount - messagesBefore));
    }

    /** A follower's own full link made the sound relay's words look late, and it told its whole data centre as well. */
    @Test
    void anInstanceWhoseOwnLinkIsFullDoesNotTakeItselfForTheRelay() {
        RelayFleet fleet = new RelayFleet(40, 2, 12);
        fleet.time.advanceMillis(5_000);
        RelayFleet.Member narrow = follower(fleet, "dc0");
        narrow.waitMillisAt = _nowMillis -> LATE_MILLIS;
        fleet.time.advanceMillis(1_000);
        long before = narrow.sentBytes;
        boolean acted = false;
        for (int i = 0; i < 60; i++) {
            fleet.time.advanceMillis(ROUND_MILLIS / 2);
            acted |= narrow.exchange.isRelay();
        }

        assertFalse(acted, "sent " + (narrow.sentBytes - before) + " bytes in 4.5 s");
    }

    /** What a follower found out waited on its own link and passed for new, over what was stated later elsewhere. */
    @Test
    void whatAFollowerTellsIsAsOldAsItIs() {
        RelayFleet fleet = new RelayFleet(40, 2, 13);
        fleet.time.advanceMillis(5_000);
        RelayFleet.Member narrow = follower(fleet, "dc0");
        Map<String, Long> ages = new HashMap<>();
        for (RelayFleet.Member member : fleet.members) {
            member.exchange.subscribe(PeerTopic.TARGET_LIMIT, item -> ages.put(member.name, item.ageMillis()));
        }
        narrow.waitMillisAt = _nowMillis -> LATE_MILLIS;
        narrow.exchange.publish(PeerTopic.TARGET_LIMIT, "t", Bytes.EMPTY, 5_000);
        fleet.time.advanceMillis(3_000);

        assertEquals(
                0,
                ages.values().stream().filter(age -> age < LATE_MILLIS).count(),
                () -> "heard by " + ages.size() + ", as old as " + ages.values());
    }

    /** The reader's answers came late and so did its word; each alone was in time and both together were not. */
    @Test
    void aLateReadingAndALateWordTogetherStayWithinTheBound() {
        StringBuilder found = new StringBuilder();
        long most = 0;
        for (long wayMillis : new long[] {0, 300, 600, 900}) {
            for (long answerMillis : new long[] {400, 700}) {
                long worst = worstMillis(wayMillis, answerMillis);
                found.append(" way ")
                        .append(wayMillis)
                        .append(" answer ")
                        .append(answerMillis)
                        .append(" worst ")
                        .append(worst);
                most = Math.max(most, worst);
            }
        }
        assertTrue(most <= BOUND_MILLIS, found::toString);
    }

    private static long worstMillis(long wayMillis, long answerMillis) {
        RelayFleet fleet = new RelayFleet(40, 2, 14);
        fleet.time.advanceMillis(5_000);
        RelayFleet.Member reader = fleet.relay("dc0");
        reader.waitMillisAt = _nowMillis -> wayMillis;
        reader.storeAnswerMillis = answerMillis;
        int records = 60;
        for (int i = 0; i < records; i++) {
            fleet.time.advanceMillis(600 + 37 * (i % 30));
            fleet.write();
        }
        fleet.time.advanceMillis(6_000);
        long worst = 0;
        for (RelayFleet.Member member : fleet.members) {
            for (long offset = 0; offset < records && member != reader; offset++) {
                worst = Math.max(
                        worst,
                        member.appliedAtMillis.getOrDefault(offset, Long.MAX_VALUE) - fleet.writtenAtMillis(offset));
            }
        }
        return worst;
    }

    private static RelayFleet.Member follower(RelayFleet fleet, String dataCentre) {
        return fleet.members.stream()
                .filter(member -> member.dataCentre.equals(dataCentre) && !member.exchange.isRelay())
                .reduce((_one, other) -> other)
                .orElseThrow();
    }
}
