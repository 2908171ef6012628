package org.dogwoodwinch.target.http;

import io.netty.channel.Channel;

/**
 * Stops and resumes reading from the connection that carries a stream, and detects streams without data.
 *
 * <p>Reading may be paused before the connection is established, and the connection returns to the pool after the
 * stream ends. A connection returned with reading stopped would block its next user, so {@link #detach()} always
 * enables reading again.
 */
final class ReadController {

    private Channel channel;
    private boolean paused;
    private boolean dataReceived;

    /**
     * Attaches the connection and applies the current pause state to it.
     *
     * @param connection the connection, not null
     */
    synchronized void attach(Channel connection) {
        channel = connection;
        connection.config().setAutoRead(!paused);
    }

    /** Detaches the connection after enabling reading on it. */
    synchronized void detach() {
        if (channel != null) {
            channel.config().setAutoRead(true);
            channel = null;
        }
    }

    /** Stops reading. */
    synchronized void pause() {
        paused = true;
        if (channel != null) {
            channel.config().setAutoRead(false);
        }
    }

    /** Resumes reading. The time spent paused does not count as silence. */
    synchronized void resume() {
        paused = false;
        dataReceived = true;
        if (channel != null) {
            channel.config().setAutoRead(true);
        }
    }

    /** Records that data arrived. */
    synchronized void recordData() {
        dataReceived = true;
    }

    /**
     * Returns whether no data arrived since the last call although reading was enabled.
     *
     * @return true if the target was silent
     */
    synchronized boolean wasSilent() {
        boolean silent = !dataReceived && !paused;
        dataReceived = false;
        return silent;
    }
}
