package org.dogwoodwinch.forwarding;

import java.util.Objects;

/**
 * One incarnation of a target, from its start to its end. After the end, another target may get its address, and a
 * later incarnation, which has no state of earlier ones, may have the same id. An incarnation is identified by its id
 * and its start time.
 *
 * @param id the target's id, not null
 * @param service the service to which the target belongs, not null
 * @param host the target's IP address, not null
 * @param port the target's port
 * @param dataCentre the target's data centre, not null
 * @param slotsCount maximum number of requests that run at the same time, at least one
 * @param draining whether the target is draining
 * @param stage the stage that the target serves, not null
 * @param weightVersion the version of the model's weights; zero if not stated
 * @param startedMillis start time, in milliseconds of the platform's clock; zero if not stated
 * @param softwareVersion the version of the target's software, which has no order; a stream may go on only at targets of
 *     the version that began it; empty if not stated, not null
 * @param spot whether the target is a spot engine, which the platform may reclaim
 */
public record Incarnation(
        String id,
        String service,
        String host,
        int port,
        String dataCentre,
        int slotsCount,
        boolean draining,
        Stage stage,
        long weightVersion,
        long startedMillis,
        String softwareVersion,
        boolean spot) {

    /** Validates the components. */
    public Incarnation {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(stage, "stage");
        Objects.requireNonNull(softwareVersion, "softwareVersion");
    }

    /**
     * Creates an incarnation that is not a spot engine.
     *
     * @param id the target's id, not null
     * @param service the service to which the target belongs, not null
     * @param host the target's IP address, not null
     * @param port the target's port
     * @param dataCentre the target's data centre, not null
     * @param slotsCount maximum number of requests that run at the same time, at least one
     * @param leaving whether the target is draining
     * @param stage the stage that the target serves, not null
     * @param weightVersion the version of the model's weights; zero if not stated
     * @param startedMillis start time, in milliseconds of the platform's clock; zero if not stated
     * @param softwareVersion the version of the target's software; empty if not stated, not null
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
            long weightVersion,
            long startedMillis,
            String softwareVersion) {
        this(
                id,
                service,
                host,
                port,
                dataCentre,
                slotsCount,
                leaving,
                stage,
                weightVersion,
                startedMillis,
                softwareVersion,
                false);
    }

    /**
     * Creates an incarnation without a stated version of its software.
     *
     * @param id the target's id, not null
     * @param service the service to which the target belongs, not null
     * @param host the target's IP address, not null
     * @param port the target's port
     * @param dataCentre the target's data centre, not null
     * @param slotsCount maximum number of requests that run at the same time, at least one
     * @param leaving whether the target is draining
     * @param stage the stage that the target serves, not null
     * @param weightVersion the version of the model's weights; zero if not stated
     * @param startedMillis start time, in milliseconds of the platform's clock; zero if not stated
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
            long weightVersion,
            long startedMillis) {
        this(id, service, host, port, dataCentre, slotsCount, leaving, stage, weightVersion, startedMillis, "");
    }

    /**
     * Creates an incarnation without a stated start time and without a stated version of its software.
     *
     * @param id the target's id, not null
     * @param service the service to which the target belongs, not null
     * @param host the target's IP address, not null
     * @param port the target's port
     * @param dataCentre the target's data centre, not null
     * @param slotsCount maximum number of requests that run at the same time, at least one
     * @param leaving whether the target is draining
     * @param stage the stage that the target serves, not null
     * @param weightVersion the version of the model's weights; zero if not stated
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
     * Compares all components.
     *
     * <p>Load: many processes start at the same time, each with a small share of a processor. The methods that the
     * compiler generates for a record are linked at their first call, in interpreted code. This takes some
     * milliseconds for each record class, during which nothing is served. Records that are compared during startup
     * therefore implement the method by hand.
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
                && draining == that.draining
                && stage == that.stage
                && weightVersion == that.weightVersion
                && startedMillis == that.startedMillis
                && softwareVersion.equals(that.softwareVersion)
                && spot == that.spot;
    }

    @Override
    public int hashCode() {
        return id.hashCode();
    }

    /**
     * Returns this incarnation as a draining one.
     *
     * @return the same incarnation, which gets no new calls
     */
    public Incarnation asDraining() {
        return new Incarnation(
                id,
                service,
                host,
                port,
                dataCentre,
                slotsCount,
                true,
                stage,
                weightVersion,
                startedMillis,
                softwareVersion,
                spot);
    }

    /**
     * Returns the address at which the target listens.
     *
     * @return the IP address and the port, separated by a colon
     */
    public String address() {
        return host + ":" + port;
    }
}
