package org.dogwoodwinch.forwarding;

import java.util.Objects;

/**
 * One start of a target. Its address may be another target's after its end. Its id may be that of a later start, which
 * knows nothing of what was before: only id and birth together name a start.
 *
 * @param id the target's id, not null
 * @param service the service that it belongs to, not null
 * @param host its IP number, not null
 * @param port its port
 * @param dataCentre where it stands, not null
 * @param slotsCount requests that it runs at once, at least one
 * @param leaving whether it has said that it leaves
 * @param stage the part of the work that it takes, not null
 * @param weightVersion the version of its model's weights; zero where none is stated
 * @param bornMillis when it started, in milliseconds of the platform's time; zero where that is not stated
 */
public record Incarnation(
        String id,
        String service,
        String host,
        int port,
        String dataCentre,
        int slotsCount,
        boolean leaving,
        Stage stage,
        long weightVersion,
        long bornMillis) {

    /** Checks. */
    public Incarnation {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(stage, "stage");
    }

    /**
     * A start whose birth is not stated.
     *
     * @param id the target's id, not null
     * @param service the service that it belongs to, not null
     * @param host its IP number, not null
     * @param port its port
     * @param dataCentre where it stands, not null
     * @param slotsCount requests that it runs at once, at least one
     * @param leaving whether it has said that it leaves
     * @param stage the part of the work that it takes, not null
     * @param weightVersion the version of its model's weights; zero where none is stated
     */
    public Incarnation(
            String id,
            String service,
            String host,
            int port,
            String dataCentre,
            int slotsCount,
            boolean leaving,
            Stage stage,
            long weightVersion) {
        this(id, service, host, port, dataCentre, slotsCount, leaving, stage, weightVersion, 0);
    }

    /**
     * Compares all parts.
     *
     * <p>Load: many processes that start at once, each on a small share of a processor. The methods that a record is given
     * are put together at their first call, by code that is interpreted: some milliseconds for each kind of record, in
     * which nothing is served. Records that are compared during a start do it by hand.
     */
    @Override
    public boolean equals(Object other) {
        return other instanceof Incarnation that
                && id.equals(that.id)
                && service.equals(that.service)
                && host.equals(that.host)
                && port == that.port
                && dataCentre.equals(that.dataCentre)
                && slotsCount == that.slotsCount
                && leaving == that.leaving
                && stage == that.stage
                && weightVersion == that.weightVersion
                && bornMillis == that.bornMillis;
    }

    @Override
    public int hashCode() {
        return id.hashCode();
    }

    /**
     * Returns where it listens.
     *
     * @return IP number, colon, port
     */
    public String address() {
        return host + ":" + port;
    }
}
