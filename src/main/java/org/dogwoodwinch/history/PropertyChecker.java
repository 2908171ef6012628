package org.dogwoodwinch.history;

/** Judges one property; holds no state between histories. */
public interface PropertyChecker {

    /**
     * Returns what it judges.
     *
     * @return the property
     */
    Property property();

    /**
     * Judges a history.
     *
     * @param history the history, not null
     * @return what was found
     */
    CheckResult check(History history);
}
