package org.dogwoodwinch.peer;

import java.io.IOException;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.bytes.Packing;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.request.SuspectRegistry;
import org.dogwoodwinch.request.SuspicionNotice;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Carries suspicions between the instances, so that a resend through another one is known there. */
public final class SuspicionExchange implements Consumer<SuspicionNotice> {

    private static final Logger log = LoggerFactory.getLogger(SuspicionExchange.class);
    private static final int FIELDS = 4;
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
    public void connect(SuspectRegistry book) {
        board.subscribe(
                PeerTopic.QUARANTINE,
                item -> decode(item.payload()).ifPresent(notice -> book.onPeerNotice(notice, item.ageMillis())));
    }

    /** A trial has a key of its own: its end must not replace the word of the quarantine that followed from it. */
    @Override
    public void accept(SuspicionNotice notice) {
        boolean trial =
                notice.kind() == SuspicionNotice.Kind.TRIAL || notice.kind() == SuspicionNotice.Kind.TRIAL_ENDED;
        String key = (trial ? TRIAL_PREFIX : "") + SuspectRegistry.formatFingerprint(notice.fingerprint());
        board.publish(PeerTopic.QUARANTINE, key, encode(notice), Math.max(LEAST_KEPT_MILLIS, notice.remainingMillis()));
    }

    private static Bytes encode(SuspicionNotice notice) {
        return Packing.pack(notice, (packer, said) -> {
            packer.packArrayHeader(FIELDS);
            packer.packString(said.kind().name());
            packer.packLong(said.fingerprint());
            packer.packString(said.target());
            packer.packLong(said.remainingMillis());
        });
    }

    private static Optional<SuspicionNotice> decode(Bytes payload) {
        try {
            return Optional.of(Packing.unpack(payload.toByteArray(), unpacker -> {
                Packing.expectFields(unpacker, FIELDS);
                return new SuspicionNotice(
                        SuspicionNotice.Kind.valueOf(unpacker.unpackString()),
                        unpacker.unpackLong(),
                        unpacker.unpackString(),
                        unpacker.unpackLong());
            }));
        } catch (IOException e) {
            LogEvent.of("suspicion_not_understood")
                    .with("error", e.getMessage())
                    .warn(log);
            return Optional.empty();
        }
    }
}
