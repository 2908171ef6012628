package org.dogwoodwinch.peer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.request.SuspectBook;
import org.dogwoodwinch.request.SuspicionNotice;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Carries suspicions between the instances, so that a resend through another one is known there. */
public final class SuspicionExchange implements Consumer<SuspicionNotice> {

    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());
    private static final String TRIAL_PREFIX = "trial-";
    private static final long LEAST_KEPT_MILLIS = 60_000;

    private final PeerBoard board;

    /**
     * Creates the publishing side.
     *
     * @param board the notice board, not null
     */
    public SuspicionExchange(PeerBoard board) {
        this.board = Objects.requireNonNull(board, "board");
    }

    /**
     * Makes a book hear what the others tell.
     *
     * @param book the book, not null
     */
    public void connect(SuspectBook book) {
        board.subscribe(
                PeerTopic.QUARANTINE,
                item -> decode(item.payload()).ifPresent(notice -> book.onPeerNotice(notice, item.ageMillis())));
    }

    /** A trial has a key of its own: its end must not replace the word of the quarantine that followed from it. */
    @Override
    public void accept(SuspicionNotice notice) {
        boolean trial =
                notice.kind() == SuspicionNotice.Kind.TRIAL || notice.kind() == SuspicionNotice.Kind.TRIAL_ENDED;
        String key = (trial ? TRIAL_PREFIX : "") + SuspectBook.toHex(notice.fingerprint());
        board.publish(PeerTopic.QUARANTINE, key, encode(notice), Math.max(LEAST_KEPT_MILLIS, notice.remainingMillis()));
    }

    private static Bytes encode(SuspicionNotice notice) {
        try {
            return Bytes.of(MAPPER.writeValueAsBytes(notice));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a suspicion cannot be written", e);
        }
    }

    private static Optional<SuspicionNotice> decode(Bytes payload) {
        try {
            return Optional.of(MAPPER.readValue(payload.toByteArray(), SuspicionNotice.class));
        } catch (IOException | RuntimeException _e) {
            return Optional.empty();
        }
    }
}
