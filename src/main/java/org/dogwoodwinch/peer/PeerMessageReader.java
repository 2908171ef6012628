package org.dogwoodwinch.peer;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.time.TimeSource;

/**
 * Decodes received messages and refuses invalid and replayed ones; the observer is notified of each message.
 * {@link #decode} is thread-safe, {@link #isReplayed} is not.
 */
final class PeerMessageReader {

    private final PeerCodec codec;
    private final ReplayGuard replayGuard;
    private final PeerObserver observer;

    /**
     * Creates a reader.
     *
     * @param codec decodes messages, not null
     * @param time the clock, not null
     * @param observer is notified of received and refused messages, not null
     */
    PeerMessageReader(PeerCodec codec, TimeSource time, PeerObserver observer) {
        this.codec = Objects.requireNonNull(codec, "codec");
        this.replayGuard = new ReplayGuard(time);
        this.observer = Objects.requireNonNull(observer, "observer");
    }

    /**
     * Decodes a message.
     *
     * @param received the encoded message, not null
     * @return the message; empty if it was refused
     */
    Optional<PeerMessage> decode(Bytes received) {
        PeerCodec.DecodeResult result = codec.decode(received);
        if (result instanceof PeerCodec.Decoded decoded) {
            observer.onReceived(received.length());
            return Optional.of(decoded.message());
        }
        observer.onRefused(((PeerCodec.Refused) result).refusal());
        return Optional.empty();
    }

    /**
     * Returns whether a decoded message is refused because it was replayed; records it if not.
     *
     * @param message the message, not null
     * @return whether it is too old, or not newer than the last one of its sender
     */
    boolean isReplayed(PeerMessage message) {
        boolean isReplayed = replayGuard.isReplayed(message);
        if (isReplayed) {
            observer.onRefused(PeerRefusal.REPLAYED);
        }
        return isReplayed;
    }
}
