package org.dogwoodwinch.routing;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import org.dogwoodwinch.bytes.Bytes;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Writes and reads {@link PeerLoad} in MessagePack. */
public final class PeerLoadCodec {

    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());

    private PeerLoadCodec() {}

    /**
     * Writes a value.
     *
     * @param load the value, not null
     * @return its bytes
     */
    public static Bytes encode(PeerLoad load) {
        try {
            return Bytes.of(MAPPER.writeValueAsBytes(load));
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("a plain record could not be written", e);
        }
    }

    /**
     * Reads a value.
     *
     * @param payload the bytes, not null
     * @return the value, or empty where the bytes are not one: a newer or broken peer must not stop this instance
     */
    public static Optional<PeerLoad> decode(Bytes payload) {
        try {
            return Optional.ofNullable(MAPPER.readValue(payload.toByteArray(), PeerLoad.class));
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
