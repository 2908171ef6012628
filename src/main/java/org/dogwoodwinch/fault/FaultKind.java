package org.dogwoodwinch.fault;

/** The disturbances that the users name, and the planned stop that must look like none to a caller. */
public enum FaultKind {
    /** An instance of ours is killed at once and started again at the end. */
    KILL(FaultScope.INSTANCE),
    /** An instance of ours stands still, then goes on as if no time had passed. */
    PAUSE(FaultScope.INSTANCE),
    /** An instance of ours reaches neither peers nor platform. */
    CUT_OFF(FaultScope.INSTANCE),
    /** An instance of ours is told to stop, and is started again at the end. */
    PLANNED_STOP(FaultScope.INSTANCE),
    /** The log answers nobody. */
    LOG_OUTAGE(FaultScope.PLATFORM),
    /** The log answers late. */
    LOG_SLOW(FaultScope.PLATFORM),
    /** The log takes appends and loses the answers. */
    LOG_ANSWER_LOST(FaultScope.PLATFORM),
    /** The instance list shows the fleet as it was. */
    INSTANCE_LIST_LAG(FaultScope.PLATFORM),
    /** Operators edit the catalogue from the same revision at once. */
    RACING_OPERATORS(FaultScope.PLATFORM),
    /** A request that crashes each target that runs it is sent, again and again. */
    POISON_REQUEST(FaultScope.PLATFORM),
    /** An engine crashes with all that runs on it, and starts again at the end. */
    ENGINE_CRASH(FaultScope.ENGINE),
    /** An engine's reports show its load as it was. */
    ENGINE_LAG(FaultScope.ENGINE);

    private final FaultScope scope;

    FaultKind(FaultScope scope) {
        this.scope = scope;
    }

    /**
     * Returns what a fault of this kind befalls.
     *
     * @return the scope
     */
    public FaultScope scope() {
        return scope;
    }
}
