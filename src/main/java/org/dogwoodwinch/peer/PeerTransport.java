package org.dogwoodwinch.peer;

import org.dogwoodwinch.bytes.Bytes;

/**
 * Sends messages to members. A message that cannot be sent at once is dropped, since the next round repeats its
 * content.
 */
@FunctionalInterface
public interface PeerTransport {

    /**
     * Sends a message.
     *
     * @param member the recipient, not null
     * @param message the encoded message, not null
     */
    void send(PeerMember member, Bytes message);
}
