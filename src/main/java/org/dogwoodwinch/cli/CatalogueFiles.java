package org.dogwoodwinch.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.dogwoodwinch.catalogue.Catalogue;
import org.dogwoodwinch.catalogue.CatalogueCodec;
import org.dogwoodwinch.catalogue.CatalogueProblem;

/** Reads the file that an operator hands in. */
final class CatalogueFiles {

    private CatalogueFiles() {}

    /**
     * Reads a file's text.
     *
     * @param file the file, not null
     * @param complain takes the complaint, not null
     * @return the text, or empty where the file cannot be read
     */
    static Optional<String> read(Path file, Consumer<String> complain) {
        try {
            return Optional.of(Files.readString(file, StandardCharsets.UTF_8));
        } catch (IOException e) {
            complain.accept("cannot read " + file + ": " + e.getMessage());
            return Optional.empty();
        }
    }

    /**
     * Reads a catalogue.
     *
     * @param text JSON with comments, not null
     * @param complain takes all faults, not null
     * @return the catalogue, or empty where it has faults
     */
    static Optional<Catalogue> parse(String text, Consumer<String> complain) {
        return new CatalogueCodec().read(text).match(Optional::of, problems -> {
            print(problems, complain);
            return Optional.empty();
        });
    }

    /**
     * Prints faults, one a line.
     *
     * @param problems the faults, not null
     * @param complain takes the lines, not null
     */
    static void print(List<CatalogueProblem> problems, Consumer<String> complain) {
        problems.forEach(problem -> complain.accept(problem.field() + ": " + problem.detail()));
    }
}
