package org.dogwoodwinch.bytes;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Objects;

/** An immutable sequence of bytes that is equal by content, for records that carry a body or a payload. */
public final class Bytes {

    /** No bytes. */
    public static final Bytes EMPTY = new Bytes(new byte[0]);

    private final byte[] content;

    private Bytes(byte[] content) {
        this.content = content;
    }

    /**
     * Takes over an array without a copy.
     *
     * @param content the bytes, not null; the caller must not write to it afterwards
     * @return the value
     */
    public static Bytes of(byte[] content) {
        Objects.requireNonNull(content, "content");
        return content.length == 0 ? EMPTY : new Bytes(content);
    }

    /**
     * Encodes a text in UTF-8.
     *
     * @param text the text, not null
     * @return the value
     */
    public static Bytes ofUtf8(String text) {
        return of(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns how many bytes there are.
     *
     * @return the count, zero or more
     */
    public int length() {
        return content.length;
    }

    /**
     * Returns the bytes in a new array.
     *
     * @return a copy
     */
    public byte[] toByteArray() {
        return content.clone();
    }

    /**
     * Decodes the bytes as UTF-8; what is malformed becomes the replacement character.
     *
     * @return the text
     */
    public String toUtf8() {
        return new String(content, StandardCharsets.UTF_8);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Bytes that && Arrays.equals(content, that.content);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(content);
    }

    @Override
    public String toString() {
        return "Bytes[" + content.length + "]";
    }
}
