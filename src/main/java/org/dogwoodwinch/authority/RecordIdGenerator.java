package org.dogwoodwinch.authority;

/** Generates unique record ids. */
@FunctionalInterface
public interface RecordIdGenerator {

    /**
     * Generates an id.
     *
     * @return the id, which no other record has, not null
     */
    String next();
}
