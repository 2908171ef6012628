package org.dogwoodwinch.catalogue;

import java.util.List;
import java.util.function.Function;

/** The outcome of reading a catalogue that a person wrote. */
public sealed interface DraftResult {

    /**
     * The text is a sound catalogue.
     *
     * @param catalogue the catalogue; its revision is the one that the text names
     */
    record Sound(Catalogue catalogue) implements DraftResult {}

    /**
     * The text has faults.
     *
     * @param problems all of them, one or more
     */
    record Faulty(List<CatalogueProblem> problems) implements DraftResult {

        /** Copies the list. */
        public Faulty {
            problems = List.copyOf(problems);
        }
    }

    /**
     * Calls the function of this result's kind.
     *
     * @param sound for {@link Sound}
     * @param faulty for {@link Faulty}
     * @param <T> what the functions return
     * @return what the function returned
     */
    default <T> T match(Function<Catalogue, T> sound, Function<List<CatalogueProblem>, T> faulty) {
        if (this instanceof Sound value) {
            return sound.apply(value.catalogue());
        }
        return faulty.apply(((Faulty) this).problems());
    }
}
