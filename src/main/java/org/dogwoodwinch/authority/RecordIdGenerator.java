package org.dogwoodwinch.authority;

/** Makes ids that no other record has. */
@FunctionalInterface
public interface RecordIdGenerator {

    /**
     * Makes an id.
     *
     * @return the id, not null
     */
    String next();
}
