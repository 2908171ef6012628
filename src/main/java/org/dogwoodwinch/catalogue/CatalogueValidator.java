package org.dogwoodwinch.catalogue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/** Validates a catalogue; edits are checked by the same rules before they are appended and when they are applied. */
public final class CatalogueValidator {

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._/-]{0,99}");
    private static final Pattern TOKEN_HASH = Pattern.compile("[0-9a-f]{64}");

    private CatalogueValidator() {}

    /**
     * Validates a catalogue.
     *
     * @param catalogue the catalogue, not null
     * @return the problems; empty if the catalogue is valid
     */
    public static List<CatalogueProblem> validate(Catalogue catalogue) {
        List<CatalogueProblem> problems = new ArrayList<>();
        checkOwners(catalogue, problems);
        catalogue.groups().values().forEach(group -> checkGroup(group, problems));
        catalogue.entries().values().forEach(entry -> checkEntry(catalogue, entry, problems));
        return problems;
    }

    private static void checkOwners(Catalogue catalogue, List<CatalogueProblem> problems) {
        Map<String, String> ownerByHash = new HashMap<>();
        for (Owner owner : catalogue.owners().values()) {
            String field = "owners[" + owner.name() + "]";
            checkName(owner.name(), field, problems);
            for (String hash : owner.tokenHashes()) {
                if (!TOKEN_HASH.matcher(hash).matches()) {
                    problems.add(new CatalogueProblem(
                            field + ".tokenHashes", "must be a SHA-256 hash of 64 lower-case hexadecimal digits"));
                }
                String other = ownerByHash.putIfAbsent(hash, owner.name());
                if (other != null) {
                    problems.add(new CatalogueProblem(
                            field + ".tokenHashes", "contains a token hash of owner '" + other + "'"));
                }
            }
        }
    }

    private static void checkGroup(TargetGroup group, List<CatalogueProblem> problems) {
        String field = "groups[" + group.name() + "]";
        checkName(group.name(), field, problems);
        if (group.kind() == TargetGroup.Kind.ENGINE && group.model().isEmpty()) {
            problems.add(new CatalogueProblem(field + ".model", "must not be empty for a group of engines"));
        }
        if (group.kind() == TargetGroup.Kind.SERVICE && !group.model().isEmpty()) {
            problems.add(new CatalogueProblem(field + ".model", "must be empty for a plain service"));
        }
    }

    private static void checkEntry(Catalogue catalogue, CatalogueEntry entry, List<CatalogueProblem> problems) {
        String field = "entries[" + entry.name() + "]";
        checkName(entry.name(), field, problems);
        if (!catalogue.owners().containsKey(entry.owner())) {
            problems.add(new CatalogueProblem(field + ".owner", "unknown owner '" + entry.owner() + "'"));
        }
        if (!catalogue.groups().containsKey(entry.group())) {
            problems.add(new CatalogueProblem(field + ".group", "unknown group '" + entry.group() + "'"));
        }
    }

    private static void checkName(String name, String field, List<CatalogueProblem> problems) {
        if (!NAME.matcher(name).matches()) {
            problems.add(new CatalogueProblem(
                    field + ".name",
                    "must have 1 to 100 letters, digits, '.', '_', '/' or '-', and start with a letter or digit"));
        }
    }
}
