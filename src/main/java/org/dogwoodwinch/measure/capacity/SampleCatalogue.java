package org.dogwoodwinch.measure.capacity;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.dogwoodwinch.catalogue.Catalogue;
import org.dogwoodwinch.catalogue.CatalogueEntry;
import org.dogwoodwinch.catalogue.Limits;
import org.dogwoodwinch.catalogue.Owner;
import org.dogwoodwinch.catalogue.TargetGroup;
import org.dogwoodwinch.catalogue.WorkClass;

/** Catalogues of any size: two tokens and three entries an owner, one target group a model. */
final class SampleCatalogue {

    static final int ENTRIES_PER_OWNER = 3;
    private static final long DEADLINE_MILLIS = 60_000;
    private static final Limits LIMITS = new Limits(200, 50_000, 200_000, 8_192);

    private SampleCatalogue() {}

    /**
     * Makes a catalogue.
     *
     * @param ownerCount how many owners
     * @param groupCount how many target groups
     * @return the catalogue
     */
    static Catalogue of(int ownerCount, int groupCount) {
        SortedMap<String, Owner> owners = new TreeMap<>();
        SortedMap<String, TargetGroup> groups = new TreeMap<>();
        SortedMap<String, CatalogueEntry> entries = new TreeMap<>();
        for (int group = 0; group < groupCount; group++) {
            groups.put(
                    groupName(group),
                    new TargetGroup(groupName(group), TargetGroup.Kind.ENGINE, "model-" + group + "-70b", true));
        }
        for (int number = 0; number < ownerCount; number++) {
            Owner owner = owner(number, LIMITS);
            owners.put(owner.name(), owner);
            for (int i = 0; i < ENTRIES_PER_OWNER; i++) {
                CatalogueEntry entry = entry(owner.name(), i, groupName((number + i) % groupCount));
                entries.put(entry.name(), entry);
            }
        }
        return new Catalogue(0, owners, groups, entries);
    }

    /**
     * Makes one owner.
     *
     * @param number which one
     * @param limits its limits, not null
     * @return the owner
     */
    static Owner owner(int number, Limits limits) {
        String name = "workspace-" + number;
        return new Owner(name, List.of(hash(name + "-a"), hash(name + "-b")), limits);
    }

    private static CatalogueEntry entry(String owner, int number, String group) {
        WorkClass workClass = number == 0 ? WorkClass.URGENT : number == 1 ? WorkClass.STANDARD : WorkClass.LONG_READ;
        return new CatalogueEntry(
                owner + "/entry-" + number, owner, workClass, group, number != 1, DEADLINE_MILLIS, LIMITS);
    }

    private static String groupName(int group) {
        return "group-" + group;
    }

    private static String hash(String text) {
        return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
    }
}
