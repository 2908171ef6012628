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
 * Distributes the catalogue among peers, so that an instance that starts during a log outage gets the newest one.
 * Thread-safe.
 *
 * <p>A catalogue from a peer is put in force only while the log is unavailable, and only after a collection period that
 * leaves time for the newest one to arrive. Otherwise a starting instance would serve the first catalogue that it
 * receives, which may be outdated.
 */
final class CatalogueExchange {

    private static final String KEY = "catalogue";
    private static final long ITEM_TTL_MILLIS = 60_000;
    private static final long NEVER = Long.MIN_VALUE;

    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());
    private final PeerBus peerBoard;
    private final ActiveCatalogue catalogueHolder;
    private final BooleanSupplier isPublisher;
    private final long collectionMillis;
    private Catalogue newestReceived = Catalogue.EMPTY;
    private long firstReceivedMillis = NEVER;
    private long publishedRevision = Catalogue.NO_REVISION;
    private long publishedMillis = NEVER;

    /**
     * Creates the exchange and subscribes to the catalogues of peers.
     *
     * @param peerBoard distributes the catalogues among peers, not null
     * @param catalogueHolder holds the catalogue in force on this instance, not null
     * @param isPublisher whether this instance publishes its catalogue to peers, not null
     * @param collectionMillis how long to collect the catalogues of peers before the newest one is used, in
     *     milliseconds
     */
    CatalogueExchange(
            PeerBus peerBoard, ActiveCatalogue catalogueHolder, BooleanSupplier isPublisher, long collectionMillis) {
        this.peerBoard = Objects.requireNonNull(peerBoard, "peerBoard");
        this.catalogueHolder = Objects.requireNonNull(catalogueHolder, "catalogueHolder");
        this.isPublisher = Objects.requireNonNull(isPublisher, "isPublisher");
        this.collectionMillis = collectionMillis;
        peerBoard.subscribe(PeerTopic.CATALOGUE, this::onItem);
    }

    /**
     * Publishes the catalogue in force. During a log outage, puts the newest catalogue of a peer in force if it is
     * newer.
     *
     * @param logUnavailable whether the log is unavailable
     * @param nowMillis the monotonic time in milliseconds
     */
    synchronized void tick(boolean logUnavailable, long nowMillis) {
        if (newestReceived.revision() > Catalogue.NO_REVISION && firstReceivedMillis == NEVER) {
            firstReceivedMillis = nowMillis;
        }
        if (logUnavailable && firstReceivedMillis != NEVER && nowMillis - firstReceivedMillis >= collectionMillis) {
            catalogueHolder.replaceIfNewer(newestReceived);
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
            throw new IllegalStateException("cannot serialize the catalogue", e);
        }
    }

    private synchronized void onItem(PeerUpdate item) {
        Catalogue received;
        try {
            received = MAPPER.readValue(item.payload().toByteArray(), CatalogueDocument.class)
                    .toCatalogue();
        } catch (IOException | IllegalArgumentException e) {
            // A peer of another version may publish a format that this version cannot read; such an item is ignored.
            return;
        }
        if (received.revision() > newestReceived.revision()
                && CatalogueValidator.validate(received).isEmpty()) {
            newestReceived = received;
        }
    }
}
