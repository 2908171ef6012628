package org.dogwoodwinch.catalogue;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * The difference between two catalogues: the items to add or replace and the names of the items to remove.
 *
 * <p>An edit is stored as a difference, because at the target size a whole catalogue has hundreds of kilobytes and each
 * instance would read 2,400 of them a day.
 *
 * @param putOwners owners that are new or changed, not null
 * @param dropOwners names of owners to remove, not null
 * @param putGroups target groups that are new or changed, not null
 * @param dropGroups names of target groups to remove, not null
 * @param putEntries entries that are new or changed, not null
 * @param dropEntries names of entries to remove, not null
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
public record CatalogueChange(
        List<Owner> putOwners,
        List<String> dropOwners,
        List<TargetGroup> putGroups,
        List<String> dropGroups,
        List<CatalogueEntry> putEntries,
        List<String> dropEntries) {

    /** Copies the lists; a missing list becomes empty. */
    public CatalogueChange {
        putOwners = copy(putOwners);
        dropOwners = copy(dropOwners);
        putGroups = copy(putGroups);
        dropGroups = copy(dropGroups);
        putEntries = copy(putEntries);
        dropEntries = copy(dropEntries);
    }

    /**
     * Computes the difference between two catalogues, without their revisions.
     *
     * @param base the catalogue before, not null
     * @param wanted the catalogue after, not null
     * @return the difference
     */
    public static CatalogueChange between(Catalogue base, Catalogue wanted) {
        return new CatalogueChange(
                changedItems(base.owners(), wanted.owners()),
                removedNames(base.owners(), wanted.owners()),
                changedItems(base.groups(), wanted.groups()),
                removedNames(base.groups(), wanted.groups()),
                changedItems(base.entries(), wanted.entries()),
                removedNames(base.entries(), wanted.entries()));
    }

    /**
     * Returns the catalogue with this change applied.
     *
     * @param base the catalogue on which the change is based, not null
     * @param revision the new catalogue's revision
     * @return the new catalogue
     */
    public Catalogue applyTo(Catalogue base, long revision) {
        return new Catalogue(
                revision,
                merge(base.owners(), putOwners, dropOwners, Owner::name),
                merge(base.groups(), putGroups, dropGroups, TargetGroup::name),
                merge(base.entries(), putEntries, dropEntries, CatalogueEntry::name));
    }

    /**
     * Returns whether the change is empty.
     *
     * @return true if no item is added, replaced or removed
     */
    public boolean changesNothing() {
        return putOwners.isEmpty()
                && dropOwners.isEmpty()
                && putGroups.isEmpty()
                && dropGroups.isEmpty()
                && putEntries.isEmpty()
                && dropEntries.isEmpty();
    }

    private static <T> List<T> copy(List<T> list) {
        return list == null ? List.of() : List.copyOf(list);
    }

    private static <T> List<T> changedItems(Map<String, T> base, Map<String, T> wanted) {
        return wanted.entrySet().stream()
                .filter(entry -> !entry.getValue().equals(base.get(entry.getKey())))
                .map(Map.Entry::getValue)
                .toList();
    }

    private static <T> List<String> removedNames(Map<String, T> base, Map<String, T> wanted) {
        return base.keySet().stream().filter(name -> !wanted.containsKey(name)).toList();
    }

    private static <T> SortedMap<String, T> merge(
            Map<String, T> base, List<T> put, List<String> drop, Function<T, String> nameOf) {
        TreeMap<String, T> result = new TreeMap<>(base);
        drop.forEach(result::remove);
        put.forEach(item -> result.put(nameOf.apply(item), item));
        return result;
    }
}
