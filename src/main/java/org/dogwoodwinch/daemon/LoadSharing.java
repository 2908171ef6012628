package org.dogwoodwinch.daemon;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.forwarding.LoadBook;
import org.dogwoodwinch.forwarding.ReadQueue;
import org.dogwoodwinch.forwarding.TargetLoad;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.peer.PeerBoard;
import org.dogwoodwinch.peer.PeerItem;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.time.TimeSource;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells the other instances what this one has under way at targets, and takes their word.
 *
 * <p>Without it each of several instances sees an idle engine where the others have just sent, and sends there too.
 */
final class LoadSharing {

    private static final Logger log = LoggerFactory.getLogger(LoadSharing.class);
    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());
    private static final String KEY = "flight";

    /** Rounds without a word after which an instance's loads are no longer counted. */
    private static final int KEPT_ROUNDS = 10;

    private final LoadBook loads;
    private final PeerBoard board;
    private final TimeSource time;
    private final long roundMillis;
    private final Map<String, Long> heardAtMillis = new HashMap<>();
    private boolean toldNothing;

    LoadSharing(LoadBook loads, PeerBoard board, TimeSource time, long roundMillis) {
        this.loads = Objects.requireNonNull(loads, "loads");
        this.board = Objects.requireNonNull(board, "board");
        this.time = Objects.requireNonNull(time, "time");
        this.roundMillis = roundMillis;
    }

    /** Tells and hears from now on. */
    void start() {
        board.subscribe(PeerTopic.LOAD, this::heard);
        round();
    }

    private void round() {
        Map<String, TargetLoad> own = loads.own();
        // An idle instance says so once.
        if (!own.isEmpty() || !toldNothing) {
            board.publish(PeerTopic.LOAD, KEY, encode(own), KEPT_ROUNDS * roundMillis);
            toldNothing = own.isEmpty();
        }
        long oldestMillis = time.monotonicMillis() - KEPT_ROUNDS * roundMillis;
        heardAtMillis.values().removeIf(atMillis -> atMillis < oldestMillis);
        loads.retainPeers(new HashSet<>(heardAtMillis.keySet()));
        time.schedule(roundMillis, this::round);
    }

    private void heard(PeerItem item) {
        if (!item.key().equals(KEY)) {
            return;
        }
        try {
            Flight[] flights = MAPPER.readValue(item.payload().toByteArray(), Flight[].class);
            Map<String, TargetLoad> told = new HashMap<>();
            for (Flight flight : flights) {
                told.put(
                        flight.target(),
                        new TargetLoad(flight.calls(), ReadQueue.of(flight.unreadTokens(), flight.unreadPrompts())));
            }
            loads.heard(item.origin(), told);
            heardAtMillis.put(item.origin(), time.monotonicMillis());
        } catch (IOException | IllegalArgumentException e) {
            LogEvent.of("peer_loads_not_understood")
                    .with("peer", item.origin())
                    .with("error", e.getMessage())
                    .warn(log);
        }
    }

    private static Bytes encode(Map<String, TargetLoad> own) {
        List<Flight> flights = new ArrayList<>();
        own.forEach((id, load) -> flights.add(new Flight(
                id, load.callsCount(), load.unread().tokens(), load.unread().prompts())));
        try {
            return Bytes.of(MAPPER.writeValueAsBytes(flights));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a plain record cannot fail to be written", e);
        }
    }

    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"target", "calls", "unreadTokens", "unreadPrompts"})
    private record Flight(String target, int calls, List<Long> unreadTokens, List<Integer> unreadPrompts) {}
}
