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
