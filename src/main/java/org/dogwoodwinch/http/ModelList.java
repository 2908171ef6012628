package org.dogwoodwinch.http;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import org.dogwoodwinch.catalogue.CatalogueEntry;

/**
 * The answer of {@code /v1/models}.
 *
 * @param object always {@code list}
 * @param data the models
 */
record ModelList(String object, List<Model> data) {

    /**
     * One model.
     *
     * @param id the entry's name
     * @param object always {@code model}
     * @param created always zero: an entry has no date of its own
     * @param ownedBy the owner's name
     */
    record Model(
            String id,
            String object,
            long created,
            @JsonProperty("owned_by") String ownedBy) {}

    /**
     * Makes the list.
     *
     * @param entries the entries, not null
     * @return the list
     */
    static ModelList of(List<CatalogueEntry> entries) {
        return new ModelList(
                "list",
                entries.stream()
                        .map(entry -> new Model(entry.name(), "model", 0, entry.owner()))
                        .toList());
    }
}
