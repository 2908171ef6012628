package org.dogwoodwinch.request;

/** Whether a refused request ran. */
public enum RunState {
    /** It certainly did not run; sending it again is safe. */
    NOT_RUN("not-run"),
    /** It may have run; only its owner can say whether sending it again is safe. */
    MAY_HAVE_RUN("may-have-run");

    private final String label;

    RunState(String label) {
        this.label = label;
    }

    /**
     * Returns the word that callers see.
     *
     * @return {@code not-run} or {@code may-have-run}
     */
    public String label() {
        return label;
    }
}
