package org.dogwoodwinch.routing;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import org.dogwoodwinch.bytes.Bytes;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Encodes and decodes {@link PeerLoad} as MessagePack. */
public final class PeerLoadCodec {

    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());

    private PeerLoadCodec() {}

    /**
     * Encodes a load message.
     *
     * @param load the message, not null
     * @return the encoded bytes
     */
    public static Bytes encode(PeerLoad load) {
        try {
            return Bytes.of(MAPPER.writeValueAsBytes(load));
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("could not encode a peer load message", e);
        }
    }

    /**
     * Decodes a load message.
     *
     * @param payload the encoded bytes, not null
     * @return the message, or empty if the bytes are malformed: a newer or faulty peer must not stop this instance
     */
    public static Optional<PeerLoad> decode(Bytes payload) {
        try {
            return Optional.ofNullable(MAPPER.readValue(payload.toByteArray(), PeerLoad.class));
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
