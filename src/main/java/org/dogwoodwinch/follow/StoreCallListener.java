package org.dogwoodwinch.follow;

/** Receives notice of calls to the platform's store, which are limited for the whole fleet and may be billed. */
@FunctionalInterface
public interface StoreCallListener {

    /**
     * Handles a call that is about to be sent.
     *
     * @param topic the topic, not null
     * @param operation the kind of the call, not null
     */
    void onCall(String topic, StoreOperation operation);
}
