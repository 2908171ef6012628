package org.dogwoodwinch.peer;

/** Hears of the exchange's traffic, for counters; each call must return at once. */
public interface PeerObserver {

    /** Hears nothing. */
    PeerObserver NONE = new PeerObserver() {};

    /**
     * A message was sent.
     *
     * @param messageBytes its size, in bytes
     */
    default void onSent(int messageBytes) {}

    /**
     * A word was put into a message.
     *
     * @param topic what it is about, not null
     * @param entryBytes its size with what goes before it, in bytes
     * @param recipientCount the instances that the message goes to
     */
    default void onTold(PeerTopic topic, int entryBytes, int recipientCount) {}

    /**
     * A word was dropped before it was sent: others took the share of the link that there is for words.
     *
     * @param topic what it was about, not null
     */
    default void onDropped(PeerTopic topic) {}

    /**
     * A message came that was on its way for so long.
     *
     * @param transitMillis its time from being written to being read, in milliseconds, or more
     */
    default void onWay(long transitMillis) {}

    /**
     * A message was taken.
     *
     * @param messageBytes its size, in bytes
     */
    default void onReceived(int messageBytes) {}

    /**
     * A message was refused.
     *
     * @param refusal why, not null
     */
    default void onRefused(PeerRefusal refusal) {}
}
