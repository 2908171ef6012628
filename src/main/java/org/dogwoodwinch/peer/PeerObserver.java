package org.dogwoodwinch.peer;

/** Is notified of the traffic between instances, for counters; each call must return immediately. */
public interface PeerObserver {

    /** An observer that ignores all notifications. */
    PeerObserver NONE = new PeerObserver() {};

    /**
     * Called when a message was sent.
     *
     * @param messageBytes its size, in bytes
     */
    default void onSent(int messageBytes) {}

    /**
     * Called when an entry was put into a message.
     *
     * @param topic the entry's topic, not null
     * @param entryBytes its approximate encoded size, in bytes
     * @param recipientCount the number of instances that the message goes to
     */
    default void onEntrySent(PeerTopic topic, int entryBytes, int recipientCount) {}

    /**
     * Called when a queued entry was dropped before it was sent, because other entries used up the bandwidth budget.
     *
     * @param topic the entry's topic, not null
     */
    default void onEntryDropped(PeerTopic topic) {}

    /**
     * Called when the transit time of a received message is known.
     *
     * @param transitMillis an upper bound of the time between writing and reading the message, in milliseconds
     */
    default void onTransitTime(long transitMillis) {}

    /**
     * Called when a message was received and decoded.
     *
     * @param messageBytes its size, in bytes
     */
    default void onReceived(int messageBytes) {}

    /**
     * Called when a message was refused.
     *
     * @param refusal the reason, not null
     */
    default void onRefused(PeerRefusal refusal) {}
}
