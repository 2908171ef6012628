package org.dogwoodwinch.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.catalogue.Catalogue;
import org.dogwoodwinch.catalogue.CatalogueDocument;
import org.dogwoodwinch.catalogue.CatalogueHolder;
import org.dogwoodwinch.catalogue.CatalogueRules;
import org.dogwoodwinch.peer.PeerBoard;
import org.dogwoodwinch.peer.PeerItem;
import org.dogwoodwinch.peer.PeerTopic;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Lets an instance that starts during a log outage take the newest catalogue from its peers. Thread-safe.
 *
 * <p>What peers say is put in force only while the log does not answer, and only once a while has gone by in which the
 * newest could arrive: otherwise a starter would serve the first, possibly older, catalogue that it hears of.
 */
final class CatalogueExchange {

    private static final String KEY = "catalogue";
    private static final long ITEM_TTL_MILLIS = 60_000;
    private static final long NEVER = Long.MIN_VALUE;

    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());
    private final PeerBoard peerBoard;
    private final CatalogueHolder catalogueHolder;
    private final BooleanSupplier isPublisher;
    private final long collectionMillis;
    private Catalogue newestReceived = Catalogue.EMPTY;
    private long firstReceivedMillis = NEVER;
    private long publishedRevision = Catalogue.NO_REVISION;
    private long publishedMillis = NEVER;

    /**
     * Creates the exchange and subscribes.
     *
     * @param peerBoard carries the catalogues, not null
     * @param catalogueHolder what is in force here, not null
     * @param isPublisher whether this instance is one of those that tell the others, not null
     * @param collectionMillis how long to collect before the newest is taken, in milliseconds
     */
    CatalogueExchange(
            PeerBoard peerBoard, CatalogueHolder catalogueHolder, BooleanSupplier isPublisher, long collectionMillis) {
        this.peerBoard = Objects.requireNonNull(peerBoard, "board");
        this.catalogueHolder = Objects.requireNonNull(catalogueHolder, "holder");
        this.isPublisher = Objects.requireNonNull(isPublisher, "publishes");
        this.collectionMillis = collectionMillis;
        peerBoard.subscribe(PeerTopic.CATALOGUE, this::onItem);
    }

    /**
     * Publishes what is in force, and puts a peer's catalogue in force where the log is out and it is newer.
     *
     * @param logUnavailable whether the log does not answer
     * @param nowMillis the monotonic time in milliseconds
     */
    synchronized void tick(boolean logUnavailable, long nowMillis) {
        if (newestReceived.revision() > Catalogue.NO_REVISION && firstReceivedMillis == NEVER) {
            firstReceivedMillis = nowMillis;
        }
        if (logUnavailable && firstReceivedMillis != NEVER && nowMillis - firstReceivedMillis >= collectionMillis) {
            catalogueHolder.offer(newestReceived);
        }
        catalogueHolder.current().ifPresent(catalogue -> publish(catalogue, nowMillis));
    }

    private void publish(Catalogue catalogue, long nowMillis) {
        boolean isNew = catalogue.revision() > publishedRevision;
        boolean isRefreshDue = publishedMillis == NEVER || nowMillis - publishedMillis >= ITEM_TTL_MILLIS / 3;
        if ((!isNew && !isRefreshDue) || !isPublisher.getAsBoolean()) {
            return;
        }
        publishedRevision = catalogue.revision();
        publishedMillis = nowMillis;
        try {
            byte[] payload = MAPPER.writeValueAsBytes(CatalogueDocument.of(catalogue));
            peerBoard.publish(PeerTopic.CATALOGUE, KEY, Bytes.of(payload), ITEM_TTL_MILLIS);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a catalogue is always writable", e);
        }
    }

    private synchronized void onItem(PeerItem item) {
        Catalogue received;
        try {
            received = MAPPER.readValue(item.payload().toByteArray(), CatalogueDocument.class)
                    .toCatalogue();
        } catch (IOException | IllegalArgumentException e) {
            // A peer of another version may write what this one does not read; it counts as not having spoken.
            return;
        }
        if (received.revision() > newestReceived.revision()
                && CatalogueRules.check(received).isEmpty()) {
            newestReceived = received;
        }
    }
}
