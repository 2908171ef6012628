package org.dogwoodwinch.catalogue;

import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * The JSON form of a catalogue, with lists instead of maps.
 *
 * @param revision the revision, or in an edit the revision on which the edit is based
 * @param owners the owners in order of name, not null
 * @param groups the target groups in order of name, not null
 * @param entries the entries in order of name, not null
 */
public record CatalogueDocument(
        long revision, List<Owner> owners, List<TargetGroup> groups, List<CatalogueEntry> entries) {

    /** Copies the lists. */
    public CatalogueDocument {
        owners = List.copyOf(owners);
        groups = List.copyOf(groups);
        entries = List.copyOf(entries);
    }

    /**
     * Creates the document of a catalogue.
     *
     * @param catalogue the catalogue, not null
     * @return the document
     */
    public static CatalogueDocument of(Catalogue catalogue) {
        return new CatalogueDocument(
                catalogue.revision(),
                List.copyOf(catalogue.owners().values()),
                List.copyOf(catalogue.groups().values()),
                List.copyOf(catalogue.entries().values()));
    }

    /**
     * Creates the catalogue of this document; if two items have the same name, the last one is kept.
     *
     * @return the catalogue
     */
    public Catalogue toCatalogue() {
        return new Catalogue(
                revision,
                byName(owners, Owner::name),
                byName(groups, TargetGroup::name),
                byName(entries, CatalogueEntry::name));
    }

    private static <T> SortedMap<String, T> byName(List<T> items, Function<T, String> nameOf) {
        SortedMap<String, T> result = new TreeMap<>();
        items.forEach(item -> result.put(nameOf.apply(item), item));
        return result;
    }
}
