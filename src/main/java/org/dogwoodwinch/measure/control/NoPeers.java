package org.dogwoodwinch.measure.control;

import java.util.function.Consumer;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.peer.PeerBoard;
import org.dogwoodwinch.peer.PeerItem;
import org.dogwoodwinch.peer.PeerTopic;

/** A board that carries nothing. */
final class NoPeers implements PeerBoard {

    @Override
    public void publish(PeerTopic _topic, String _key, Bytes _payload, long _keepMillis) {}

    @Override
    public void subscribe(PeerTopic _topic, Consumer<PeerItem> _listener) {}
}
