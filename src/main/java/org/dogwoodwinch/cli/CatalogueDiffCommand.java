package org.dogwoodwinch.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.dogwoodwinch.catalogue.Catalogue;
import org.dogwoodwinch.catalogue.CatalogueChange;
import org.dogwoodwinch.catalogue.CatalogueDocument;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** {@code dogwoodwinchctl catalogue diff}: checks a file and prints what it would change. */
@Command(
        name = "diff",
        mixinStandardHelpOptions = true,
        description = "Checks a catalogue file and prints what it would change; publishes nothing.")
public final class CatalogueDiffCommand implements Callable<Integer> {

    @Mixin
    private InstanceOption instance;

    @Parameters(paramLabel = "FILE", description = "The catalogue wanted, JSON with comments.")
    private Path file;

    @Override
    public Integer call() {
        Optional<Catalogue> wanted = CatalogueFiles.read(file, instance::complain)
                .flatMap(text -> CatalogueFiles.parse(text, instance::complain));
        if (wanted.isEmpty()) {
            return ExitCodes.REFUSED;
        }
        return instance.get("/control/catalogue", CatalogueDocument.class, document -> print(document, wanted.get()));
    }

    private int print(CatalogueDocument document, Catalogue wanted) {
        CatalogueChange change = CatalogueChange.between(document.toCatalogue(), wanted);
        instance.line("base revision %d, revision in force %d", wanted.revision(), document.revision());
        print("owner", change.putOwners(), change.dropOwners());
        print("group", change.putGroups(), change.dropGroups());
        print("entry", change.putEntries(), change.dropEntries());
        if (change.changesNothing()) {
            instance.line("no difference");
        }
        return ExitCodes.DONE;
    }

    private void print(String what, List<?> put, List<String> dropped) {
        put.forEach(item -> instance.line("+ %s %s", what, item));
        dropped.forEach(name -> instance.line("- %s %s", what, name));
    }
}
