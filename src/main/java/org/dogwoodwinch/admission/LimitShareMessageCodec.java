package org.dogwoodwinch.admission;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import org.dogwoodwinch.bytes.Bytes;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Encodes and decodes {@link LimitShareMessage} as MessagePack. */
public final class LimitShareMessageCodec {

    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());

    private LimitShareMessageCodec() {}

    /**
     * Encodes a message.
     *
     * @param message the message, not null
     * @return the encoded message
     */
    public static Bytes encode(LimitShareMessage message) {
        try {
            return Bytes.of(MAPPER.writeValueAsBytes(message));
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("could not encode a limit share message as MessagePack", e);
        }
    }

    /**
     * Decodes a message.
     *
     * @param payload the encoded message, not null
     * @return the message, or empty if the bytes are not a valid message, because a newer or faulty peer must not stop
     *     this instance
     */
    public static Optional<LimitShareMessage> decode(Bytes payload) {
        try {
            return Optional.ofNullable(MAPPER.readValue(payload.toByteArray(), LimitShareMessage.class));
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
