package org.dogwoodwinch.target.http;

import io.netty.channel.Channel;

/**
 * Stops and resumes reading from the connection that carries a stream.
 *
 * <p>The connection may come after the pause (it is still being made) and goes back to the pool after the end; one that
 * went back with reading stopped would hang whoever gets it next, so {@link #detach()} always turns reading on again.
 */
final class ReadController {

    private Channel channel;
    private boolean paused;
    private boolean dataReceived;

    /**
     * Takes the connection.
     *
     * @param connection the connection, not null
     */
    synchronized void attach(Channel connection) {
        channel = connection;
        connection.config().setAutoRead(!paused);
    }

    /** Lets the connection go, with reading on. */
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

    /** Reads on. */
    synchronized void resume() {
        paused = false;
        dataReceived = true;
        if (channel != null) {
            channel.config().setAutoRead(true);
        }
    }

    /** Notes that something came. */
    synchronized void recordData() {
        dataReceived = true;
    }

    /**
     * Says whether nothing came since the last call although reading was on.
     *
     * @return true where the target was silent
     */
    synchronized boolean wasSilent() {
        boolean silent = !dataReceived && !paused;
        dataReceived = false;
        return silent;
    }
}
