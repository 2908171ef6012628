package org.dogwoodwinch.catalogue;

import java.util.List;
import java.util.function.Function;

/** The outcome of reading a catalogue that a person wrote. */
public sealed interface CatalogueReadResult {

    /**
     * The text is a sound catalogue.
     *
     * @param catalogue the catalogue; its revision is the one that the text names
     */
    record Valid(Catalogue catalogue) implements CatalogueReadResult {}

    /**
     * The text has faults.
     *
     * @param problems all of them, one or more
     */
    record Invalid(List<CatalogueProblem> problems) implements CatalogueReadResult {

        /** Copies the list. */
        public Invalid {
            problems = List.copyOf(problems);
        }
    }

    /**
     * Calls the function of this result's kind.
     *
     * @param valid for {@link Valid}
     * @param invalid for {@link Invalid}
     * @param <T> what the functions return
     * @return what the function returned
     */
    default <T> T match(Function<Catalogue, T> valid, Function<List<CatalogueProblem>, T> invalid) {
        if (this instanceof Valid value) {
            return valid.apply(value.catalogue());
        }
        return invalid.apply(((Invalid) this).problems());
    }
}
