package org.dogwoodwinch.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dogwoodwinch.forwarding.PrefillQueue;
import org.dogwoodwinch.forwarding.TargetLoad;

/**
 * A call on a connection that has carried another one, whose second answer arrives late and may be cut.
 *
 * @param path the path of both calls, which selects the route
 * @param methods the methods of both calls
 * @param late the second answer to the earlier call
 * @param cutAt the number of its bytes that arrive
 * @param arrival when its bytes arrive
 * @param earlyBytes how many of them arrive before the call is written
 * @param own the call's own answer
 * @param reads how the bytes after the write are split
 */
record LateAnswerPlay(
        String path,
        Methods methods,
        LateAnswer late,
        int cutAt,
        Arrival arrival,
        int earlyBytes,
        OwnAnswer own,
        Reads reads) {

    static final String EARLIER_ID = "a1";
    private static final String ID = "a2";
    private static final String OWN_STAMP = "s-own";
    private static final String OTHER_STAMP = "s-other";
    private static final TargetLoad MORE_LOAD = new TargetLoad(5, PrefillQueue.EMPTY);

    /** The methods of the earlier call and of the call that follows it. */
    enum Methods {
        GET_GET("GET", "GET"),
        HEAD_GET("HEAD", "GET"),
        GET_HEAD("GET", "HEAD"),
        HEAD_HEAD("HEAD", "HEAD");

        private final String earlier;
        private final String next;

        Methods(String earlier, String next) {
            this.earlier = earlier;
            this.next = next;
        }

        String earlier() {
            return earlier;
        }
    }

    /** When the second answer begins to arrive. */
    enum Arrival {
        AFTER_WRITE,
        WITH_FIRST_ANSWER,
        WHILE_IDLE
    }

    /** How bytes are split into reads. */
    enum Reads {
        ONE(Integer.MAX_VALUE),
        ONE_FOR_EACH_ANSWER(Integer.MAX_VALUE),
        OF_1(1),
        OF_2(2),
        OF_3(3),
        OF_7(7);

        private final int maxBytes;

        Reads(int maxBytes) {
            this.maxBytes = maxBytes;
        }
    }

    /**
     * What a play led to.
     *
     * @param earlierReceived what the caller of the earlier call received
     * @param received what the caller received
     * @param waiting whether the caller still waits
     * @param sends the number of connections on which the call was written
     * @param onKeptConnection whether it was first written on the connection of the earlier call
     */
    record Result(
            ReceivedAnswer earlierReceived,
            ReceivedAnswer received,
            boolean waiting,
            int sends,
            boolean onKeptConnection) {}

    /** Returns the same call without a second answer to the earlier one. */
    LateAnswerPlay withoutLateAnswer() {
        return new LateAnswerPlay(path, methods, late, 0, Arrival.AFTER_WRITE, 0, own, Reads.ONE);
    }

    /** Returns the methods of both calls, when the second answer begins to arrive, and whether a part comes after the write. */
    String situation() {
        return methods + " " + arrival + (earlyBytes < cutAt ? "" : " wholly");
    }

    /** Returns all that is needed to play it again. */
    String describe() {
        return path + " " + methods + " [" + late.name() + "] " + earlyBytes + "+" + (cutAt - earlyBytes) + " bytes "
                + arrival + " reads " + reads + " own " + own + " cut: "
                + lateText().substring(0, cutAt).replace("\r\n", "|");
    }

    boolean runsOnce() {
        return !path.startsWith("/safe/");
    }

    boolean isOwnFailure(ReceivedAnswer received) {
        return own.isReceivedAs(received, methods.next, OWN_STAMP);
    }

    private String lateText() {
        return late.text(methods.earlier);
    }

    boolean isLateWhole() {
        boolean endStated = late.endStated() || methods.earlier.equals("HEAD");
        return cutAt == lateText().length() && endStated;
    }

    /** Returns whether the bytes of the second answer show where it ends, whatever the method of the earlier call was. */
    boolean isLateSeparable() {
        boolean sameFraming =
                methods.earlier.equals(methods.next) || late.body().isEmpty();
        return late.interim() || (late.idStated() && sameFraming);
    }

    /** Plays the call; the first target to get it answers with its own answer, and any other one with a success. */
    Result run() {
        RelayFixture relay =
                new RelayFixture().withRoutes().withPlainTarget("t1").withPlainTarget("t2");
        RelayFixture.FakeCaller earlierCaller = relay.connectCaller().send(request(methods.earlier, EARLIER_ID));
        RelayFixture.FakeTargetConnection kept = relay.latestTargetConnection();
        kept.takeReceived();
        relay.loads.replacePeerLoads("peer", Map.of(kept.targetId().equals("t1") ? "t2" : "t1", MORE_LOAD));
        String early = lateText().substring(0, earlyBytes);
        String first = OwnAnswer.SUCCESS.text(path, methods.earlier, EARLIER_ID, "s-first");
        kept.respond(arrival == Arrival.WITH_FIRST_ANSWER ? first + early : first);
        if (arrival == Arrival.WHILE_IDLE) {
            respondWhileOpen(kept, early);
        }
        RelayFixture.FakeCaller caller = relay.connectCaller().send(request(methods.next, ID));
        RelayFixture.FakeTargetConnection firstSend = takeSend(relay).orElseThrow();
        respondToFirstSend(firstSend, firstSend == kept);
        int sends = 1;
        Optional<RelayFixture.FakeTargetConnection> next = takeSend(relay);
        while (next.isPresent()) {
            sends++;
            next.get().respond(OwnAnswer.SUCCESS.text(path, methods.next, ID, OTHER_STAMP));
            next = takeSend(relay);
        }
        ReceivedAnswer received = ReceivedAnswer.parse(caller.takeReceived(), methods.next);
        return new Result(
                ReceivedAnswer.parse(earlierCaller.takeReceived(), methods.earlier),
                received,
                !received.complete() && !caller.isClosed(),
                sends,
                firstSend == kept);
    }

    /** Returns what a caller receives of the success that the second target gives. */
    ReceivedAnswer successOfOtherTarget() {
        RelayFixture relay = new RelayFixture().withRoutes().withPlainTarget("t1");
        RelayFixture.FakeCaller caller = relay.connectCaller().send(request(methods.next, ID));
        RelayFixture.FakeTargetConnection target = takeSend(relay).orElseThrow();
        target.respond(OwnAnswer.SUCCESS.text(path, methods.next, ID, OTHER_STAMP));
        return ReceivedAnswer.parse(caller.takeReceived(), methods.next);
    }

    private String request(String method, String id) {
        return RelayFixture.getRequest(path, id).replaceFirst("GET", method);
    }

    private static Optional<RelayFixture.FakeTargetConnection> takeSend(RelayFixture relay) {
        for (RelayFixture.FakeTargetConnection connection : relay.targetConnections) {
            if (connection.takeReceived().contains("Request-Id: " + ID + "\r\n")) {
                return Optional.of(connection);
            }
        }
        return Optional.empty();
    }

    private void respondToFirstSend(RelayFixture.FakeTargetConnection connection, boolean isKept) {
        String remaining = isKept ? lateText().substring(earlyBytes, cutAt) : "";
        String ownText = own.text(path, methods.next, ID, OWN_STAMP);
        if (reads == Reads.ONE_FOR_EACH_ANSWER) {
            respondWhileOpen(connection, remaining);
            respondWhileOpen(connection, ownText);
            return;
        }
        for (String piece : split(remaining + ownText, reads.maxBytes)) {
            respondWhileOpen(connection, piece);
        }
    }

    private static List<String> split(String text, int maxBytes) {
        List<String> pieces = new ArrayList<>();
        for (int from = 0; from < text.length(); from += Math.min(maxBytes, text.length())) {
            pieces.add(text.substring(from, from + Math.min(maxBytes, text.length() - from)));
        }
        return pieces;
    }

    private static void respondWhileOpen(RelayFixture.FakeTargetConnection connection, String bytes) {
        if (!bytes.isEmpty() && connection.isOpen()) {
            connection.respond(bytes);
        }
    }
}
