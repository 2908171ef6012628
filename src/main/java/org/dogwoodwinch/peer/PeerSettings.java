package org.dogwoodwinch.peer;

import java.util.Objects;

/**
 * What may be set of the exchange between instances.
 *
 * @param instance this instance's name in the platform's list, not null
 * @param dataCentre the data centre it stands in, not null
 * @param secret the secret that all instances share, which authenticates each message; empty where mutual TLS alone
 *     does, not null
 * @param roundMillis how often a round is sent, in milliseconds
 * @param fanout how many members a round goes to
 * @param bytesPerSecond how many bytes this instance sends a second, on average
 * @param maxMessageBytes the largest message that is sent or taken, in bytes
 * @param linkMbps what this instance's link carries, in megabits a second; zero where that is not known
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
     * Checks the numbers.
     *
     * @throws IllegalArgumentException if one is out of range
     */
    public PeerSettings {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(secret, "secret");
        if (roundMillis <= 0 || fanout <= 0 || bytesPerSecond <= 0 || maxMessageBytes < MIN_MESSAGE_BYTES) {
            throw new IllegalArgumentException("rounds, neighbours and bytes must be more than zero");
        }
    }

    /**
     * Creates the settings of an instance whose link is not known.
     *
     * @param instance this instance's name in the platform's list, not null
     * @param dataCentre the data centre it stands in, not null
     * @param secret the shared secret, not null
     * @param roundMillis how often a round is sent, in milliseconds
     * @param fanout how many members a round goes to
     * @param bytesPerSecond how many bytes this instance sends a second, on average
     * @param maxMessageBytes the largest message that is sent or taken, in bytes
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
     * Returns what holds where the settings say nothing: a round a second to three members, 3,400 bytes a second out.
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
