package org.dogwoodwinch.peer;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.function.Consumer;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.dogwoodwinch.bytes.Bytes;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Writes and reads messages: MessagePack behind an authentication code (HMAC-SHA-256 with the shared secret).
 *
 * <p>The code is checked before a byte is parsed, so that a stranger's bytes reach no decoder. Thread-safe.
 */
final class PeerCodec {

    private static final String ALGORITHM = "HmacSHA256";
    private static final int CODE_BYTES = 32;
    private static final int MAX_NAME_CHARACTERS = 256;

    private final ObjectMapper mapper = new ObjectMapper(new MessagePackFactory())
            .registerModule(new SimpleModule()
                    .addSerializer(Bytes.class, new BytesSerializer())
                    .addDeserializer(Bytes.class, new BytesDeserializer()));
    private final SecretKeySpec key;
    private final int maxMessageBytes;

    PeerCodec(String secret, int maxMessageBytes) {
        // An empty secret leaves it to mutual TLS; the code then only finds damage. A key may not be empty.
        byte[] secretBytes = ("dogwoodwinch-peer:" + secret).getBytes(StandardCharsets.UTF_8);
        this.key = new SecretKeySpec(secretBytes, ALGORITHM);
        this.maxMessageBytes = maxMessageBytes;
    }

    Bytes encode(PeerMessage message) {
        try {
            byte[] body = mapper.writeValueAsBytes(message);
            byte[] whole = Arrays.copyOf(code(body), CODE_BYTES + body.length);
            System.arraycopy(body, 0, whole, CODE_BYTES, body.length);
            return Bytes.of(whole);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a peer message cannot be written", e);
        }
    }

    /** Returns about how many bytes an entry takes, for the budget. */
    static int sizeOf(PeerEntry entry) {
        int overheadBytes = 32;
        return overheadBytes
                + entry.origin().length()
                + entry.topic().length()
                + entry.key().length()
                + entry.payload().length();
    }

    void decode(Bytes received, Consumer<PeerMessage> message, Consumer<PeerRefusal> refusal) {
        Decoded decoded = decode(received);
        if (decoded.refusal() == null) {
            message.accept(decoded.message());
        } else {
            refusal.accept(decoded.refusal());
        }
    }

    private Decoded decode(Bytes received) {
        if (received.length() > maxMessageBytes) {
            return Decoded.refused(PeerRefusal.TOO_LARGE);
        }
        if (received.length() < CODE_BYTES) {
            return Decoded.refused(PeerRefusal.UNAUTHENTICATED);
        }
        byte[] whole = received.toByteArray();
        byte[] body = Arrays.copyOfRange(whole, CODE_BYTES, whole.length);
        if (!MessageDigest.isEqual(code(body), Arrays.copyOf(whole, CODE_BYTES))) {
            return Decoded.refused(PeerRefusal.UNAUTHENTICATED);
        }
        try {
            PeerMessage message = mapper.readValue(body, PeerMessage.class);
            if (message.version() != PeerMessage.VERSION) {
                return Decoded.refused(PeerRefusal.WRONG_VERSION);
            }
            return isInRange(message) ? new Decoded(message, null) : Decoded.refused(PeerRefusal.MALFORMED);
        } catch (IOException | RuntimeException _e) {
            // The decoder throws unchecked exceptions too on some malformed input; all of it means the same.
            return Decoded.refused(PeerRefusal.MALFORMED);
        }
    }

    private static boolean isInRange(PeerMessage message) {
        return isName(message.sender())
                && message.items().stream()
                        .allMatch(entry -> isName(entry.origin())
                                && isName(entry.key())
                                && entry.topic() != null
                                && entry.payload() != null
                                && entry.ageMillis() >= 0
                                && entry.keepMillis() >= 0);
    }

    private static boolean isName(String name) {
        return name != null && name.length() <= MAX_NAME_CHARACTERS;
    }

    private byte[] code(byte[] body) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            return mac.doFinal(body);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java runtime has " + ALGORITHM, e);
        }
    }

    private record Decoded(PeerMessage message, PeerRefusal refusal) {

        static Decoded refused(PeerRefusal refusal) {
            return new Decoded(null, refusal);
        }
    }

    private static final class BytesSerializer extends StdSerializer<Bytes> {

        BytesSerializer() {
            super(Bytes.class);
        }

        @Override
        public void serialize(Bytes value, JsonGenerator generator, SerializerProvider _provider) throws IOException {
            generator.writeBinary(value.toByteArray());
        }
    }

    private static final class BytesDeserializer extends StdDeserializer<Bytes> {

        BytesDeserializer() {
            super(Bytes.class);
        }

        @Override
        public Bytes deserialize(JsonParser parser, DeserializationContext _context) throws IOException {
            return Bytes.of(parser.getBinaryValue());
        }
    }
}
