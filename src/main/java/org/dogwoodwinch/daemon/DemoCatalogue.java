package org.dogwoodwinch.daemon;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.dogwoodwinch.catalogue.Catalogue;
import org.dogwoodwinch.catalogue.CatalogueEntry;
import org.dogwoodwinch.catalogue.CatalogueView;
import org.dogwoodwinch.catalogue.Limits;
import org.dogwoodwinch.catalogue.Owner;
import org.dogwoodwinch.catalogue.TargetGroup;
import org.dogwoodwinch.catalogue.WorkClass;

/** A fixed catalogue, in place of the one on the log until its fold is there. */
final class DemoCatalogue implements CatalogueView {

    private static final long DEADLINE_MILLIS = 60_000;

    private final Catalogue catalogue;

    /** Creates the catalogue. */
    DemoCatalogue() {
        String hash = Hashing.sha256()
                .hashString("malabar-token", StandardCharsets.UTF_8)
                .toString();
        SortedMap<String, Owner> owners = new TreeMap<>();
        owners.put("malabar", new Owner("malabar", List.of(hash), Limits.NONE));
        SortedMap<String, TargetGroup> groups = new TreeMap<>();
        groups.put("booking", new TargetGroup("booking", TargetGroup.Kind.ENGINE, "booking-model", true));
        groups.put("script-check", new TargetGroup("script-check", TargetGroup.Kind.SERVICE, "", false));
        SortedMap<String, CatalogueEntry> entries = new TreeMap<>();
        entries.put("slot", entry("slot", "booking", true));
        entries.put("script-check", entry("script-check", "script-check", false));
        catalogue = new Catalogue(0, owners, groups, entries);
    }

    @Override
    public Optional<Catalogue> current() {
        return Optional.of(catalogue);
    }

    @Override
    public void onChange(Consumer<Catalogue> _listener) {}

    private static CatalogueEntry entry(String name, String group, boolean repeatable) {
        return new CatalogueEntry(name, "malabar", WorkClass.STANDARD, group, repeatable, DEADLINE_MILLIS, Limits.NONE);
    }
}
