package org.dogwoodwinch.peer;

import java.util.Objects;

/**
 * The settings of the message exchange between instances.
 *
 * @param instance this instance's name in the platform's list, not null
 * @param dataCentre its data centre, not null
 * @param secret the secret that all instances share, which authenticates each message; empty if mutual TLS alone does,
 *     not null
 * @param roundMillis the interval between rounds, in milliseconds
 * @param fanout the number of members that a round goes to
 * @param bytesPerSecond the average sending budget of this instance, in bytes per second
 * @param maxMessageBytes the maximum size of a message that is sent or received, in bytes
 * @param linkMbps the bandwidth of this instance's link, in megabits per second; zero if unknown
 */
public record PeerSettings(
        String instance,
        String dataCentre,
        String secret,
        long roundMillis,
        int fanout,
        int bytesPerSecond,
        int maxMessageBytes,
        double linkMbps) {

    private static final int MIN_MESSAGE_BYTES = 1_024;

    /**
     * Checks that texts are not null and numbers are in range.
     *
     * @throws IllegalArgumentException if a number is out of range
     */
    public PeerSettings {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(secret, "secret");
        if (roundMillis <= 0 || fanout <= 0 || bytesPerSecond <= 0 || maxMessageBytes < MIN_MESSAGE_BYTES) {
            throw new IllegalArgumentException(
                    "roundMillis, fanout and bytesPerSecond must be positive, maxMessageBytes at least "
                            + MIN_MESSAGE_BYTES);
        }
    }

    /**
     * Creates the settings of an instance whose link bandwidth is unknown.
     *
     * @param instance this instance's name in the platform's list, not null
     * @param dataCentre its data centre, not null
     * @param secret the shared secret, not null
     * @param roundMillis the interval between rounds, in milliseconds
     * @param fanout the number of members that a round goes to
     * @param bytesPerSecond the average sending budget of this instance, in bytes per second
     * @param maxMessageBytes the maximum size of a message that is sent or received, in bytes
     */
    public PeerSettings(
            String instance,
            String dataCentre,
            String secret,
            long roundMillis,
            int fanout,
            int bytesPerSecond,
            int maxMessageBytes) {
        this(instance, dataCentre, secret, roundMillis, fanout, bytesPerSecond, maxMessageBytes, 0);
    }

    /**
     * Returns the default settings: one round per second to three members, and a budget of 3,400 bytes per second.
     *
     * @param instance this instance's name, not null
     * @param dataCentre its data centre, not null
     * @param secret the shared secret, not null
     * @return the settings
     */
    public static PeerSettings defaults(String instance, String dataCentre, String secret) {
        return new PeerSettings(instance, dataCentre, secret, 1_000, 3, 3_400, 1_048_576);
    }
}
