package org.dogwoodwinch.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.catalogue.ActiveCatalogue;
import org.dogwoodwinch.catalogue.Catalogue;
import org.dogwoodwinch.catalogue.CatalogueDocument;
import org.dogwoodwinch.catalogue.CatalogueValidator;
import org.dogwoodwinch.peer.PeerBus;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.peer.PeerUpdate;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Lets an instance that starts during a log outage take the newest catalogue from its peers. Thread-safe.
 *
 * <p>What peers say is put in force only while the log does not answer, and only once a while has gone by in which the
 * newest could arrive: otherwise a starter would serve the first, possibly older, catalogue that it hears of.
 */
final class CatalogueExchange {

    private static final String KEY = "catalogue";
    private static final long KEEP_MILLIS = 60_000;
    private static final long NEVER = Long.MIN_VALUE;

    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());
    private final PeerBus board;
    private final ActiveCatalogue holder;
    private final BooleanSupplier publishes;
    private final long gatherMillis;
    private Catalogue newest = Catalogue.EMPTY;
    private long firstHeardMillis = NEVER;
    private long publishedRevision = Catalogue.NO_REVISION;
    private long publishedMillis = NEVER;

    /**
     * Creates the exchange and subscribes.
     *
     * @param board carries the catalogues, not null
     * @param holder what is in force here, not null
     * @param publishes whether this instance is one of those that tell the others, not null
     * @param gatherMillis how long to collect before the newest is taken, in milliseconds
     */
    CatalogueExchange(PeerBus board, ActiveCatalogue holder, BooleanSupplier publishes, long gatherMillis) {
        this.board = Objects.requireNonNull(board, "board");
        this.holder = Objects.requireNonNull(holder, "holder");
        this.publishes = Objects.requireNonNull(publishes, "publishes");
        this.gatherMillis = gatherMillis;
        board.subscribe(PeerTopic.CATALOGUE, this::onItem);
    }

    /**
     * Publishes what is in force, and puts a peer's catalogue in force where the log is out and it is newer.
     *
     * @param logOut whether the log does not answer
     * @param nowMillis the monotonic time in milliseconds
     */
    synchronized void tick(boolean logOut, long nowMillis) {
        if (newest.revision() > Catalogue.NO_REVISION && firstHeardMillis == NEVER) {
            firstHeardMillis = nowMillis;
        }
        if (logOut && firstHeardMillis != NEVER && nowMillis - firstHeardMillis >= gatherMillis) {
            holder.replaceIfNewer(newest);
        }
        holder.current().ifPresent(catalogue -> publish(catalogue, nowMillis));
    }

    private void publish(Catalogue catalogue, long nowMillis) {
        boolean isNew = catalogue.revision() > publishedRevision;
        boolean isOld = publishedMillis == NEVER || nowMillis - publishedMillis >= KEEP_MILLIS / 3;
        if ((!isNew && !isOld) || !publishes.getAsBoolean()) {
            return;
        }
        publishedRevision = catalogue.revision();
        publishedMillis = nowMillis;
        try {
            byte[] payload = MAPPER.writeValueAsBytes(CatalogueDocument.of(catalogue));
            board.publish(PeerTopic.CATALOGUE, KEY, Bytes.of(payload), KEEP_MILLIS);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a catalogue is always writable", e);
        }
    }

    private synchronized void onItem(PeerUpdate item) {
        Catalogue offered;
        try {
            offered = MAPPER.readValue(item.payload().toByteArray(), CatalogueDocument.class)
                    .toCatalogue();
        } catch (IOException | IllegalArgumentException e) {
            // A peer of another version may write what this one does not read; it counts as not having spoken.
            return;
        }
        if (offered.revision() > newest.revision()
                && CatalogueValidator.validate(offered).isEmpty()) {
            newest = offered;
        }
    }
}
