package org.dogwoodwinch.catalogue;

import java.util.List;
import java.util.function.Function;

/** The result of reading a catalogue from text. */
public sealed interface CatalogueReadResult {

    /**
     * The text is a valid catalogue.
     *
     * @param catalogue the catalogue, with the revision given in the text
     */
    record Valid(Catalogue catalogue) implements CatalogueReadResult {}

    /**
     * The text is not a valid catalogue.
     *
     * @param problems all problems, at least one
     */
    record Invalid(List<CatalogueProblem> problems) implements CatalogueReadResult {

        /** Copies the list. */
        public Invalid {
            problems = List.copyOf(problems);
        }
    }

    /**
     * Calls the function for the type of this result.
     *
     * @param valid the function for {@link Valid}
     * @param invalid the function for {@link Invalid}
     * @param <T> the return type of the functions
     * @return the return value of the function
     */
    default <T> T match(Function<Catalogue, T> valid, Function<List<CatalogueProblem>, T> invalid) {
        if (this instanceof Valid value) {
            return valid.apply(value.catalogue());
        }
        return invalid.apply(((Invalid) this).problems());
    }
}
