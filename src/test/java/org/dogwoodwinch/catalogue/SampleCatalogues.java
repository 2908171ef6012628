package org.dogwoodwinch.catalogue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Creates catalogues for tests. */
public final class SampleCatalogues {

    private SampleCatalogues() {}

    /**
     * Creates a small valid catalogue.
     *
     * @param revision the catalogue's revision
     * @param deadlineMillis the deadline of the only entry, by which tests distinguish catalogues
     * @return the catalogue
     */
    public static Catalogue withDeadline(long revision, long deadlineMillis) {
        Owner owner = new Owner("malabar", List.of("ab".repeat(32)), Limits.NONE);
        TargetGroup group = new TargetGroup("reading", TargetGroup.Kind.ENGINE, "reader-7b", true);
        CatalogueEntry entry = new CatalogueEntry(
                "booking", "malabar", WorkClass.URGENT, "reading", true, deadlineMillis, new Limits(8, 0, 0, 0));
        return new Catalogue(
                revision,
                new TreeMap<>(Map.of("malabar", owner)),
                new TreeMap<>(Map.of("reading", group)),
                new TreeMap<>(Map.of("booking", entry)));
    }
}
