package org.dogwoodwinch.daemon;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.bytes.Packing;
import org.dogwoodwinch.follow.KeyedRecord;
import org.dogwoodwinch.follow.KeyedStream;
import org.dogwoodwinch.follow.ReplicaPolicy;
import org.dogwoodwinch.follow.ReplicatedStream;
import org.dogwoodwinch.follow.StreamUpdate;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.peer.PeerUpdate;
import org.dogwoodwinch.peer.RelayExchange;
import org.dogwoodwinch.time.TimeSource;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Lets one instance of a data centre read the streams of the platform's store and tell the others. */
final class StreamSharing {

    private static final Logger log = LoggerFactory.getLogger(StreamSharing.class);

    /** A word is of use to those that hear it, and to a newcomer for a moment. */
    private static final long KEEP_MILLIS = 1_000;

    private final RelayExchange exchange;
    private final TimeSource time;
    private final Map<String, ReplicatedStream> streams = new HashMap<>();

    StreamSharing(RelayExchange exchange, TimeSource time) {
        this.exchange = Objects.requireNonNull(exchange, "exchange");
        this.time = Objects.requireNonNull(time, "time");
        exchange.subscribe(PeerTopic.STREAM, this::heard);
        exchange.addStateTransfer(PeerTopic.STREAM, this::whole, KEEP_MILLIS);
    }

    /**
     * Makes a stream one that is told.
     *
     * @param name its name, not null
     * @param platform reads it from the store, not null
     * @param policy the times, not null
     * @return the stream to follow
     */
    ReplicatedStream share(String name, KeyedStream platform, ReplicaPolicy policy) {
        return share(name, platform, policy, _record -> new Object());
    }

    /**
     * Makes a stream one that is told, but for the records that say again what the one before said of its key.
     *
     * @param name its name, not null
     * @param platform reads it from the store, not null
     * @param policy the times, not null
     * @param meaning what a record says; two that say the same are equal, not null
     * @return the stream to follow
     */
    ReplicatedStream share(
            String name, KeyedStream platform, ReplicaPolicy policy, Function<KeyedRecord, Object> meaning) {
        ReplicatedStream.Publisher publisher = new ReplicatedStream.Publisher() {
            @Override
            public void publish(StreamUpdate word, boolean ownReading) {
                exchange.publishImmediately(PeerTopic.STREAM, word.stream(), encode(word), KEEP_MILLIS, ownReading);
            }

            @Override
            public void requestSnapshot() {
                exchange.requestState();
            }
        };
        ReplicatedStream told =
                new ReplicatedStream(name, platform, policy, time, exchange::ownRank, publisher, meaning);
        streams.put(name, told);
        return told;
    }

    /** All that is known here, for an instance that has just been connected to and may know nothing. */
    private Map<String, Bytes> whole() {
        Map<String, Bytes> words = new HashMap<>();
        streams.forEach((name, stream) -> stream.snapshot().ifPresent(word -> words.put(name, encode(word))));
        return words;
    }

    private void heard(PeerUpdate item) {
        ReplicatedStream stream = streams.get(item.key());
        if (stream == null) {
            return;
        }
        try {
            Word word = Packing.unpack(item.payload().toByteArray(), Word::read);
            StreamUpdate told =
                    word.told(item.key(), item.ageBounded() ? item.ageMillis() : StreamUpdate.UNKNOWN_AGE_MILLIS);
            if (exchange.isInOwnDataCentre(item.origin())) {
                stream.onUpdate(told, exchange.isPredecessor(item.origin()));
            } else {
                stream.onUpdateFromOtherDataCentre(told);
            }
        } catch (IOException e) {
            LogEvent.of("stream_word_not_understood")
                    .with("peer", item.origin())
                    .with("stream", item.key())
                    .with("error", e.getMessage())
                    .warn(log);
        }
    }

    private static Bytes encode(StreamUpdate word) {
        return Packing.pack(word, Word::write);
    }

    /** A word as a message carries it. */
    private record Word(
            boolean whole, long firstOffset, long nextOffset, long contactAgeMillis, List<KeyedRecord> rows) {

        static void write(MessagePacker packer, StreamUpdate word) throws IOException {
            packer.packBoolean(word.isSnapshot());
            packer.packLong(word.firstOffset());
            packer.packLong(word.nextOffset());
            packer.packLong(word.contactAgeMillis());
            Packing.writeAll(packer, word.records(), Word::writeRow);
        }

        static Word read(MessageUnpacker unpacker) throws IOException {
            Word word = new Word(
                    unpacker.unpackBoolean(),
                    unpacker.unpackLong(),
                    unpacker.unpackLong(),
                    unpacker.unpackLong(),
                    Packing.readAll(unpacker, Word::readRow));
            word.check();
            return word;
        }

        StreamUpdate told(String stream, long ageMillis) {
            return new StreamUpdate(
                    stream, whole, rows, firstOffset, nextOffset, Math.max(0, contactAgeMillis) + ageMillis);
        }

        /** Offsets out of order would take whoever believes them back, or let them pass over records. */
        private void check() throws IOException {
            if (firstOffset < 0 || firstOffset > nextOffset) {
                throw new IOException("records from " + firstOffset + " to " + nextOffset);
            }
            long leastOffset = whole ? 0 : firstOffset;
            for (KeyedRecord row : rows) {
                if (row.offset() < leastOffset || (!whole && row.offset() >= nextOffset)) {
                    throw new IOException("a record at " + row.offset());
                }
                leastOffset = whole ? 0 : row.offset() + 1;
            }
        }

        private static void writeRow(MessagePacker packer, KeyedRecord record) throws IOException {
            packer.packString(record.key());
            packer.packLong(record.offset());
            packer.packBoolean(record.value().isPresent());
            Packing.writeBytes(packer, record.value().orElse(Bytes.EMPTY));
        }

        private static KeyedRecord readRow(MessageUnpacker unpacker) throws IOException {
            String key = unpacker.unpackString();
            long offset = unpacker.unpackLong();
            boolean present = unpacker.unpackBoolean();
            Bytes value = Packing.readBytes(unpacker);
            return new KeyedRecord(key, offset, present ? Optional.of(value) : Optional.empty());
        }
    }
}
