package org.dogwoodwinch.measure.control;

import java.util.function.Consumer;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.peer.PeerBus;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.peer.PeerUpdate;

/** A board that carries nothing. */
final class NoPeers implements PeerBus {

    @Override
    public void publish(PeerTopic _topic, String _key, Bytes _payload, long _keepMillis) {}

    @Override
    public void subscribe(PeerTopic _topic, Consumer<PeerUpdate> _listener) {}
}
