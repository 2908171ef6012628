package org.dogwoodwinch.catalogue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/** What must hold between the parts of a catalogue; the fold and the check before publishing use the same rules. */
public final class CatalogueRules {

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._/-]{0,99}");
    private static final Pattern TOKEN_HASH = Pattern.compile("[0-9a-f]{64}");

    private CatalogueRules() {}

    /**
     * Checks a catalogue.
     *
     * @param catalogue the catalogue, not null
     * @return the faults; empty where there is none
     */
    public static List<CatalogueProblem> check(Catalogue catalogue) {
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
                            field + ".tokenHashes", "a SHA-256 hash in 64 lower-case hexadecimal digits is wanted"));
                }
                String other = ownerByHash.putIfAbsent(hash, owner.name());
                if (other != null) {
                    problems.add(
                            new CatalogueProblem(field + ".tokenHashes", "a token belongs to '" + other + "' already"));
                }
            }
        }
    }

    private static void checkGroup(TargetGroup group, List<CatalogueProblem> problems) {
        String field = "groups[" + group.name() + "]";
        checkName(group.name(), field, problems);
        if (group.kind() == TargetGroup.Kind.ENGINE && group.model().isEmpty()) {
            problems.add(new CatalogueProblem(field + ".model", "a group of engines names its model"));
        }
        if (group.kind() == TargetGroup.Kind.SERVICE && !group.model().isEmpty()) {
            problems.add(new CatalogueProblem(field + ".model", "a plain service has no model"));
        }
    }

    private static void checkEntry(Catalogue catalogue, CatalogueEntry entry, List<CatalogueProblem> problems) {
        String field = "entries[" + entry.name() + "]";
        checkName(entry.name(), field, problems);
        if (!catalogue.owners().containsKey(entry.owner())) {
            problems.add(new CatalogueProblem(field + ".owner", "there is no owner '" + entry.owner() + "'"));
        }
        if (!catalogue.groups().containsKey(entry.group())) {
            problems.add(new CatalogueProblem(field + ".group", "there is no group '" + entry.group() + "'"));
        }
    }

    private static void checkName(String name, String field, List<CatalogueProblem> problems) {
        if (!NAME.matcher(name).matches()) {
            problems.add(new CatalogueProblem(
                    field + ".name",
                    "up to 100 letters, digits, '.', '_', '/', '-' are wanted, a letter or digit first"));
        }
    }
}
