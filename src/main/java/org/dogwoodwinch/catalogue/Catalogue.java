package org.dogwoodwinch.catalogue;

import java.util.Collections;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * An immutable revision of the whole catalogue.
 *
 * @param revision the log offset of the accepted edit that created this revision; {@link #NO_REVISION} before the first
 *     edit
 * @param owners the owners by name, not null
 * @param groups the target groups by name, not null
 * @param entries the entries by name, not null
 */
public record Catalogue(
        long revision,
        SortedMap<String, Owner> owners,
        SortedMap<String, TargetGroup> groups,
        SortedMap<String, CatalogueEntry> entries) {

    /** The revision of the catalogue before the first edit. */
    public static final long NO_REVISION = -1;

    /** The catalogue before the first edit. */
    public static final Catalogue EMPTY = new Catalogue(NO_REVISION, new TreeMap<>(), new TreeMap<>(), new TreeMap<>());

    /** Validates and copies the maps. */
    public Catalogue {
        owners = Collections.unmodifiableSortedMap(new TreeMap<>(owners));
        groups = Collections.unmodifiableSortedMap(new TreeMap<>(groups));
        entries = Collections.unmodifiableSortedMap(new TreeMap<>(entries));
    }

    /**
     * Finds an entry.
     *
     * @param name the entry's name, not null
     * @return the entry, or empty if there is none with this name
     */
    public Optional<CatalogueEntry> entry(String name) {
        return Optional.ofNullable(entries.get(name));
    }

    /**
     * Finds a target group.
     *
     * @param name the group's name, not null
     * @return the group, or empty if there is none with this name
     */
    public Optional<TargetGroup> group(String name) {
        return Optional.ofNullable(groups.get(name));
    }
}
