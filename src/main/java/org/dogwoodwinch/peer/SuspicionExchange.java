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

/** Shares suspicions between the instances, so that an instance recognizes a request that is sent again through it. */
public final class SuspicionExchange implements Consumer<SuspicionNotice> {

    private static final Logger log = LoggerFactory.getLogger(SuspicionExchange.class);
    private static final int FIELDS = 4;
    private static final String TRIAL_PREFIX = "trial-";
    private static final long MIN_TTL_MILLIS = 60_000;

    private final PeerBus bus;

    /**
     * Creates an exchange that publishes suspicions.
     *
     * @param bus the publish/subscribe bus, not null
     */
    public SuspicionExchange(PeerBus bus) {
        this.bus = Objects.requireNonNull(bus, "bus");
    }

    /**
     * Subscribes a book of suspects to the suspicions of other instances.
     *
     * @param suspects the book, not null
     */
    public void subscribe(SuspectRegistry suspects) {
        bus.subscribe(
                PeerTopic.QUARANTINE,
                update -> decode(update.payload())
                        .ifPresent(notice -> suspects.onPeerNotice(notice, update.ageMillis())));
    }

    /**
     * Publishes a suspicion. A trial has a key of its own, so that its end does not replace the quarantine that
     * resulted from it.
     */
    @Override
    public void accept(SuspicionNotice notice) {
        boolean isTrial =
                notice.kind() == SuspicionNotice.Kind.TRIAL || notice.kind() == SuspicionNotice.Kind.TRIAL_ENDED;
        String key = (isTrial ? TRIAL_PREFIX : "") + SuspectRegistry.formatFingerprint(notice.fingerprint());
        bus.publish(PeerTopic.QUARANTINE, key, encode(notice), Math.max(MIN_TTL_MILLIS, notice.remainingMillis()));
    }

    private static Bytes encode(SuspicionNotice notice) {
        return Packing.pack(notice, (packer, value) -> {
            packer.packArrayHeader(FIELDS);
            packer.packString(value.kind().name());
            packer.packLong(value.fingerprint());
            packer.packString(value.target());
            packer.packLong(value.remainingMillis());
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
