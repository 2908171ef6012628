package org.dogwoodwinch.measure;

import java.util.List;
import java.util.Optional;
import org.dogwoodwinch.measure.capacity.CapacityProbes;
import org.dogwoodwinch.measure.control.AuthorityMeasurement;
import org.dogwoodwinch.measure.control.CatalogueMeasurement;
import org.dogwoodwinch.measure.requests.RequestsMeasurement;

/** The list of all measurements. */
public final class Measurements {

    private static final List<Measurement> ALL = List.of(
            new LineMeasurement(ProjectFolder.find()),
            new CapacityMeasurement(CapacityProbes.all()),
            new AuthorityMeasurement(),
            new CatalogueMeasurement(),
            new PathMeasurement(),
            new RequestsMeasurement(),
            new RolesMeasurement(),
            new RoutingMeasurement());

    private Measurements() {}

    /**
     * Returns all measurements.
     *
     * @return the list, in the order in which it is printed
     */
    public static List<Measurement> all() {
        return ALL;
    }

    /**
     * Finds a measurement.
     *
     * @param name its name, not null
     * @return the measurement, or empty where there is none of that name
     */
    public static Optional<Measurement> find(String name) {
        return ALL.stream()
                .filter(measurement -> measurement.name().equals(name))
                .findFirst();
    }
}
