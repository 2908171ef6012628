package org.dogwoodwinch.cli;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.dogwoodwinch.control.ApplyAnswer;
import org.dogwoodwinch.control.EditRequest;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code dogwoodwinchctl catalogue apply}: publishes an edit and says what became of it. */
@Command(
        name = "apply",
        mixinStandardHelpOptions = true,
        description = {
            "Checks a catalogue file, publishes it and says accepted, rejected or unknown-yet.",
            "Running the same command again is safe: the same file by the same author is the same edit."
        })
public final class CatalogueApplyCommand implements Callable<Integer> {

    private static final int ID_CHARACTERS = 20;

    @Mixin
    private InstanceOption instance;

    @Parameters(paramLabel = "FILE", description = "The catalogue wanted; its revision is the one it was made from.")
    private Path file;

    @Option(
            names = "--author",
            paramLabel = "NAME",
            defaultValue = "${sys:user.name}",
            description = "Who edits (default: ${DEFAULT-VALUE}).")
    private String author;

    @Option(
            names = "--edit-id",
            paramLabel = "ID",
            description = "Names the edit (default: made from author and file).")
    private String editId;

    @Override
    public Integer call() {
        Optional<String> text = CatalogueFiles.read(file, instance::complain);
        if (text.isEmpty()
                || CatalogueFiles.parse(text.get(), instance::complain).isEmpty()) {
            return ExitCodes.REFUSED;
        }
        String id = editId != null ? editId : idOf(author, text.get());
        instance.line("edit %s", id);
        return instance.post(
                "/control/catalogue/edits",
                new EditRequest(id, author, text.get()),
                ApplyAnswer.class,
                answer -> EditAnswers.print(instance, answer));
    }

    /** The same file by the same author is the same edit, so that a lost answer is made good by running again. */
    private static String idOf(String author, String text) {
        return Hashing.sha256()
                .hashString(author + "\n" + text, StandardCharsets.UTF_8)
                .toString()
                .substring(0, ID_CHARACTERS);
    }
}
