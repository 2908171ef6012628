package org.dogwoodwinch.request;

/** Whether a refused request may have run. */
public enum RunState {
    /** The request did not run; resending it is safe. */
    NOT_RUN("not-run"),
    /** The request may have run; only its owner can decide whether resending it is safe. */
    MAY_HAVE_RUN("may-have-run");

    private final String label;

    RunState(String label) {
        this.label = label;
    }

    /**
     * Returns the name that is reported to callers.
     *
     * @return {@code not-run} or {@code may-have-run}
     */
    public String label() {
        return label;
    }
}
