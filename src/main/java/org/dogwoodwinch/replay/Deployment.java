package org.dogwoodwinch.replay;

import java.util.List;
import java.util.Locale;
import org.dogwoodwinch.roles.RolePlannerSettings;

/** The users' two deployments: their groups, their kinds of requests and their price of a role change. */
public enum Deployment {
    /** Malabar Reel Exchange: reading model, booking and playlists; the first show starts at a fixed hour. */
    MALABAR(RolePlannerSettings.GOODPUT_FIRST_PRICE),
    /** Vazamentos Albuquerque: office language models, field dispatch; crews leave in the morning. */
    ALBUQUERQUE(RolePlannerSettings.STABILITY_FIRST_PRICE);

    private final double price;

    Deployment(double price) {
        this.price = price;
    }

    /**
     * Returns the price of a second of an engine away.
     *
     * @return answers in time
     */
    public double price() {
        return price;
    }

    /**
     * Returns the engine groups.
     *
     * @return the groups
     */
    public List<TraceGroup> groups() {
        return this == MALABAR
                ? List.of(new TraceGroup("reading", 8), new TraceGroup("booking", 3))
                : List.of(new TraceGroup("office", 8), new TraceGroup("dispatch", 4));
    }

    /**
     * Returns the name in traces.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    List<WorkloadPart> parts() {
        return this == MALABAR ? Workloads.MALABAR : Workloads.ALBUQUERQUE;
    }
}
