package org.dogwoodwinch.peer;

import org.dogwoodwinch.bytes.Bytes;

/** Carries messages to members; what cannot be sent at once is dropped, for the next round says it anew. */
@FunctionalInterface
public interface PeerTransport {

    /**
     * Sends a message.
     *
     * @param member where to, not null
     * @param message the message, not null
     */
    void send(PeerMember member, Bytes message);
}
