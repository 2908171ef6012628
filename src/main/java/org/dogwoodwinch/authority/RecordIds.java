package org.dogwoodwinch.authority;

/** Makes ids that no other record has. */
@FunctionalInterface
public interface RecordIds {

    /**
     * Makes an id.
     *
     * @return the id, not null
     */
    String next();
}
