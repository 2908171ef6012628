package org.dogwoodwinch.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Optional;
import java.util.zip.CRC32C;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.bytes.Packing;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes messages: MessagePack preceded by an authentication code (HMAC-SHA-256 with the shared secret).
 *
 * <p>The code is verified before a byte is parsed, so that no decoder processes unauthenticated bytes. Thread-safe.
 */
final class PeerCodec {

    private static final String ALGORITHM = "HmacSHA256";
    private static final int AUTHENTICATION_CODE_BYTES = 32;
    private static final int MESSAGE_FIELDS = 9;
    private static final int ENTRY_FIELDS = 8;
    private static final int MAX_NAME_CHARACTERS = 256;

    private final SecretKeySpec key;
    private final boolean hasSecret;
    private final int maxMessageBytes;

    PeerCodec(String secret, int maxMessageBytes) {
        // With an empty secret, mutual TLS authenticates and the code only detects corruption. A key must not be empty.
        byte[] secretBytes = ("dogwoodwinch-peer:" + secret).getBytes(StandardCharsets.UTF_8);
        this.key = new SecretKeySpec(secretBytes, ALGORITHM);
        this.hasSecret = !secret.isEmpty();
        this.maxMessageBytes = maxMessageBytes;
    }

    Bytes encode(PeerMessage message) {
        byte[] body = Packing.pack(message, PeerCodec::write).toByteArray();
        byte[] frame = Arrays.copyOf(authenticationCode(body), AUTHENTICATION_CODE_BYTES + body.length);
        System.arraycopy(body, 0, frame, AUTHENTICATION_CODE_BYTES, body.length);
        return Bytes.of(frame);
    }

    private static void write(MessagePacker packer, PeerMessage message) throws IOException {
        packer.packArrayHeader(MESSAGE_FIELDS);
        packer.packInt(message.version());
        writeText(packer, message.sender());
        packer.packLong(message.startedMillis());
        packer.packLong(message.number());
        packer.packLong(message.sentMillis());
        packer.packLong(message.clockMillis());
        if (message.leadMillis().isPresent()) {
            packer.packLong(message.leadMillis().get());
        } else {
            packer.packNil();
        }
        packer.packBoolean(message.newcomer());
        Packing.writeAll(packer, message.items(), PeerCodec::writeEntry);
    }

    private static void writeEntry(MessagePacker packer, PeerEntry entry) throws IOException {
        packer.packArrayHeader(ENTRY_FIELDS);
        writeText(packer, entry.origin());
        packer.packLong(entry.startedMillis());
        writeText(packer, entry.topic());
        writeText(packer, entry.key());
        packer.packLong(entry.version());
        packer.packLong(entry.ageMillis());
        packer.packLong(entry.keepMillis());
        Packing.writeBytes(packer, entry.payload());
    }

    private static void writeText(MessagePacker packer, String text) throws IOException {
        if (text == null) {
            packer.packNil();
        } else {
            packer.packString(text);
        }
    }

    private static PeerMessage read(MessageUnpacker unpacker) throws IOException {
        Packing.expectFields(unpacker, MESSAGE_FIELDS);
        return new PeerMessage(
                unpacker.unpackInt(),
                unpacker.unpackString(),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpacker.tryUnpackNil() ? Optional.empty() : Optional.of(unpacker.unpackLong()),
                unpacker.unpackBoolean(),
                Packing.readAll(unpacker, PeerCodec::readEntry));
    }

    private static PeerEntry readEntry(MessageUnpacker unpacker) throws IOException {
        Packing.expectFields(unpacker, ENTRY_FIELDS);
        return new PeerEntry(
                unpacker.unpackString(),
                unpacker.unpackLong(),
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                Packing.readBytes(unpacker));
    }

    /** Returns the approximate encoded size of an entry in bytes, for the sending budget. */
    static int sizeOf(PeerEntry entry) {
        int overheadBytes = 32;
        return overheadBytes
                + entry.origin().length()
                + entry.topic().length()
                + entry.key().length()
                + entry.payload().length();
    }

    /**
     * Decodes a message.
     *
     * @param frameBytes the encoded message, not null
     * @return the message, or the reason why it is refused
     */
    DecodeResult decode(Bytes frameBytes) {
        if (frameBytes.length() > maxMessageBytes) {
            return new Refused(PeerRefusal.TOO_LARGE);
        }
        if (frameBytes.length() < AUTHENTICATION_CODE_BYTES) {
            return new Refused(PeerRefusal.UNAUTHENTICATED);
        }
        byte[] frame = frameBytes.toByteArray();
        byte[] body = Arrays.copyOfRange(frame, AUTHENTICATION_CODE_BYTES, frame.length);
        if (!MessageDigest.isEqual(authenticationCode(body), Arrays.copyOf(frame, AUTHENTICATION_CODE_BYTES))) {
            return new Refused(PeerRefusal.UNAUTHENTICATED);
        }
        try {
            PeerMessage message = Packing.unpack(body, PeerCodec::read);
            if (message.version() != PeerMessage.VERSION) {
                return new Refused(PeerRefusal.WRONG_VERSION);
            }
            return isInRange(message) ? new Decoded(message) : new Refused(PeerRefusal.MALFORMED);
        } catch (IOException | RuntimeException _e) {
            // On some malformed input the decoder throws unchecked exceptions too; all of them mean the same.
            return new Refused(PeerRefusal.MALFORMED);
        }
    }

    private static boolean isInRange(PeerMessage message) {
        return isValidName(message.sender())
                && message.items().stream()
                        .allMatch(entry -> isValidName(entry.origin())
                                && isValidName(entry.key())
                                && entry.topic() != null
                                && entry.payload() != null
                                && entry.ageMillis() >= 0
                                && entry.keepMillis() >= 0);
    }

    private static boolean isValidName(String name) {
        return name != null && name.length() <= MAX_NAME_CHARACTERS;
    }

    /**
     * Computes the authentication code, or a checksum if there is no secret. Without a secret the code only detects
     * corruption, for which a checksum suffices: while the JVM still interprets the code, each authentication code
     * takes a millisecond, which made up most of the time that a process spent on messages in its first seconds.
     */
    private byte[] authenticationCode(byte[] body) {
        if (!hasSecret) {
            CRC32C checksum = new CRC32C();
            checksum.update(body);
            return ByteBuffer.allocate(AUTHENTICATION_CODE_BYTES)
                    .putLong(checksum.getValue())
                    .array();
        }
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            return mac.doFinal(body);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("Java runtime does not support " + ALGORITHM, e);
        }
    }

    /** The result of decoding a received message. */
    sealed interface DecodeResult permits Decoded, Refused {}

    /**
     * An authentic and valid message.
     *
     * @param message the message
     */
    record Decoded(PeerMessage message) implements DecodeResult {}

    /**
     * A refused message.
     *
     * @param refusal the reason
     */
    record Refused(PeerRefusal refusal) implements DecodeResult {}
}
