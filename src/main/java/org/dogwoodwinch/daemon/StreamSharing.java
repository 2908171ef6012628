package org.dogwoodwinch.daemon;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.bytes.Packing;
import org.dogwoodwinch.follow.KeyedRecord;
import org.dogwoodwinch.follow.KeyedStream;
import org.dogwoodwinch.follow.ToldPolicy;
import org.dogwoodwinch.follow.ToldStream;
import org.dogwoodwinch.follow.ToldWord;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.peer.PeerItem;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.peer.TellerExchange;
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

    private final TellerExchange exchange;
    private final TimeSource time;
    private final Map<String, ToldStream> streams = new HashMap<>();

    StreamSharing(TellerExchange exchange, TimeSource time) {
        this.exchange = Objects.requireNonNull(exchange, "exchange");
        this.time = Objects.requireNonNull(time, "time");
        exchange.subscribe(PeerTopic.STREAM, this::heard);
    }

    /**
     * Makes a stream one that is told.
     *
     * @param name its name, not null
     * @param platform reads it from the store, not null
     * @param policy the times, not null
     * @return the stream to follow
     */
    ToldStream share(String name, KeyedStream platform, ToldPolicy policy) {
        ToldStream told = new ToldStream(name, platform, policy, time, exchange::ownRank, this::tell);
        streams.put(name, told);
        return told;
    }

    private void tell(ToldWord word) {
        exchange.publish(PeerTopic.STREAM, word.stream(), encode(word), KEEP_MILLIS);
    }

    private void heard(PeerItem item) {
        ToldStream stream = streams.get(item.key());
        if (stream == null) {
            return;
        }
        try {
            Word word = Packing.unpack(item.payload().toByteArray(), Word::read);
            stream.heard(word.told(item.key(), Math.max(0, item.ageMillis())), exchange.before(item.origin()));
        } catch (IOException e) {
            LogEvent.of("stream_word_not_understood")
                    .with("peer", item.origin())
                    .with("stream", item.key())
                    .with("error", e.getMessage())
                    .warn(log);
        }
    }

    private static Bytes encode(ToldWord word) {
        return Packing.pack(word, Word::write);
    }

    /** A word as a message carries it: the rows fill the offsets up to the next one. */
    private record Word(long nextOffset, long contactAgeMillis, List<Row> rows) {

        static void write(MessagePacker packer, ToldWord word) throws IOException {
            packer.packLong(word.nextOffset());
            packer.packLong(word.contactAgeMillis());
            Packing.writeAll(packer, word.records(), Row::write);
        }

        static Word read(MessageUnpacker unpacker) throws IOException {
            Word word = new Word(unpacker.unpackLong(), unpacker.unpackLong(), Packing.readAll(unpacker, Row::read));
            if (word.nextOffset < word.rows.size()) {
                throw new IOException("more rows than offsets");
            }
            return word;
        }

        ToldWord told(String stream, long ageMillis) {
            List<KeyedRecord> records = new ArrayList<>();
            long firstOffset = nextOffset - rows.size();
            for (Row row : rows) {
                records.add(new KeyedRecord(row.key, firstOffset + records.size(), row.value));
            }
            return new ToldWord(stream, records, nextOffset, Math.max(0, contactAgeMillis) + ageMillis);
        }
    }

    private record Row(String key, Optional<Bytes> value) {

        static void write(MessagePacker packer, KeyedRecord record) throws IOException {
            packer.packString(record.key());
            packer.packBoolean(record.value().isPresent());
            Packing.writeBytes(packer, record.value().orElse(Bytes.EMPTY));
        }

        static Row read(MessageUnpacker unpacker) throws IOException {
            String key = unpacker.unpackString();
            boolean present = unpacker.unpackBoolean();
            Bytes value = Packing.readBytes(unpacker);
            return new Row(key, present ? Optional.of(value) : Optional.empty());
        }
    }
}
