package org.dogwoodwinch.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * The bytes with which an instance tells another one that a connection to its port for messages carries calls. The
 * other one repeats them once it is ready to read calls.
 *
 * <p>Messages have a length of four bytes in front, and this value is larger than any allowed length. A program that
 * does not know the preface closes the connection before a call is written.
 */
public final class CallPreface {

    /** The length of the preface. */
    public static final int BYTES = 4;

    private static final int VALUE = 0x7F43414C;

    private CallPreface() {}

    /**
     * Returns the preface.
     *
     * @return a new buffer
     */
    public static ByteBuf newBuffer() {
        return Unpooled.buffer(BYTES).writeInt(VALUE);
    }

    /**
     * Returns whether a buffer starts with the preface.
     *
     * @param buffer at least {@link #BYTES} readable bytes, not null; not modified
     * @return whether they are the preface
     */
    public static boolean isAtStartOf(ByteBuf buffer) {
        return buffer.getInt(buffer.readerIndex()) == VALUE;
    }
}
