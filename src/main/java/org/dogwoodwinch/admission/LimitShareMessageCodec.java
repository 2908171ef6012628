package org.dogwoodwinch.admission;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import org.dogwoodwinch.bytes.Bytes;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Writes and reads {@link LimitShareMessage} in MessagePack. */
public final class LimitShareMessageCodec {

    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());

    private LimitShareMessageCodec() {}

    /**
     * Writes a note.
     *
     * @param message the note, not null
     * @return its bytes
     */
    public static Bytes encode(LimitShareMessage message) {
        try {
            return Bytes.of(MAPPER.writeValueAsBytes(message));
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("a plain record could not be written", e);
        }
    }

    /**
     * Reads a note.
     *
     * @param payload the bytes, not null
     * @return the note, or empty where the bytes are not one: a newer or broken peer must not stop this instance
     */
    public static Optional<LimitShareMessage> decode(Bytes payload) {
        try {
            return Optional.ofNullable(MAPPER.readValue(payload.toByteArray(), LimitShareMessage.class));
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
