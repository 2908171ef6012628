package org.dogwoodwinch.fault;

/** Brings faults about and takes them back; a paused-clock test and a run of processes each have their own. */
public interface FaultInjector {

    /**
     * Brings a fault about.
     *
     * @param fault the fault, not null
     */
    void begin(Fault fault);

    /**
     * Takes a fault back: what was killed is started, what was cut off is joined.
     *
     * @param fault the fault, not null
     */
    void end(Fault fault);
}
