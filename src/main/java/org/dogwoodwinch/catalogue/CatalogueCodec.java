package org.dogwoodwinch.catalogue;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Reads catalogues from JSON with comments, reporting all problems of the text, and writes them as JSON. Thread-safe.
 */
public final class CatalogueCodec {

    private static final long MAX_DEADLINE_MILLIS = 86_400_000L;

    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(JsonParser.Feature.ALLOW_COMMENTS)
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .build();

    /**
     * Writes a catalogue as indented JSON.
     *
     * @param catalogue the catalogue, not null
     * @return the JSON text, which {@link #read(String)} accepts
     */
    public String write(Catalogue catalogue) {
        try {
            return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(CatalogueDocument.of(catalogue));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("could not write a catalogue as JSON", e);
        }
    }

    /**
     * Reads and validates a catalogue; reports all problems, not only the first.
     *
     * @param text JSON with comments, not null
     * @return the catalogue, or the problems of the text
     */
    public CatalogueReadResult read(String text) {
        List<CatalogueProblem> problems = new ArrayList<>();
        JsonNode root;
        try {
            root = MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            String line =
                    e.getLocation() == null ? "" : "line " + e.getLocation().getLineNr();
            return new CatalogueReadResult.Invalid(List.of(new CatalogueProblem(line, e.getOriginalMessage())));
        }
        CatalogueDocument document = readDocument(new FieldReader(root, "", problems));
        if (problems.isEmpty()) {
            problems.addAll(CatalogueValidator.validate(document.toCatalogue()));
        }
        return problems.isEmpty()
                ? new CatalogueReadResult.Valid(document.toCatalogue())
                : new CatalogueReadResult.Invalid(problems);
    }

    private static CatalogueDocument readDocument(FieldReader root) {
        root.rejectUnknownFields("revision", "owners", "groups", "entries");
        List<Owner> owners = new ArrayList<>();
        List<TargetGroup> groups = new ArrayList<>();
        List<CatalogueEntry> entries = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (FieldReader item : root.items("owners")) {
            owners.add(readOwner(item));
            checkUnique(names, "owner " + owners.get(owners.size() - 1).name(), item);
        }
        for (FieldReader item : root.items("groups")) {
            groups.add(readGroup(item));
            checkUnique(names, "group " + groups.get(groups.size() - 1).name(), item);
        }
        for (FieldReader item : root.items("entries")) {
            CatalogueEntry entry = readEntry(item);
            entries.add(entry);
            checkUnique(names, "entry " + entry.name(), item);
        }
        long revision = root.integer("revision", Catalogue.NO_REVISION, Long.MAX_VALUE);
        return new CatalogueDocument(revision, owners, groups, entries);
    }

    private static void checkUnique(Set<String> names, String name, FieldReader item) {
        if (!names.add(name)) {
            item.addProblem("name", "duplicate " + name);
        }
    }

    private static Owner readOwner(FieldReader item) {
        item.rejectUnknownFields("name", "tokenHashes", "limits");
        return new Owner(item.string("name"), item.strings("tokenHashes"), readLimits(item));
    }

    private static TargetGroup readGroup(FieldReader item) {
        item.rejectUnknownFields("name", "kind", "model", "checksFencing");
        return new TargetGroup(
                item.string("name"),
                item.enumConstant("kind", TargetGroup.Kind.class),
                item.string("model", ""),
                item.bool("checksFencing"));
    }

    private static CatalogueEntry readEntry(FieldReader item) {
        item.rejectUnknownFields("name", "owner", "workClass", "group", "repeatable", "deadlineMillis", "limits");
        return new CatalogueEntry(
                item.string("name"),
                item.string("owner"),
                item.enumConstant("workClass", WorkClass.class),
                item.string("group"),
                item.bool("repeatable"),
                item.integer("deadlineMillis", 1, MAX_DEADLINE_MILLIS),
                readLimits(item));
    }

    private static Limits readLimits(FieldReader item) {
        if (!item.has("limits")) {
            return Limits.NONE;
        }
        FieldReader limits = item.object("limits");
        limits.rejectUnknownFields("maxConcurrent", "tokensPerSecond", "maxPromptTokens", "maxOutputTokens");
        return new Limits(
                (int) limits.integer("maxConcurrent", 0, Integer.MAX_VALUE, 0),
                limits.integer("tokensPerSecond", 0, Long.MAX_VALUE, 0),
                limits.integer("maxPromptTokens", 0, Long.MAX_VALUE, 0),
                (int) limits.integer("maxOutputTokens", 0, Integer.MAX_VALUE, 0));
    }
}
