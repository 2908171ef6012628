package org.dogwoodwinch.architecture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * The room that speaks the platform's language decides nothing, and no other room speaks it: a change of the platform
 * then touches one small room, and no decision hides behind a format.
 */
@AnalyzeClasses(packages = "org.dogwoodwinch", importOptions = ImportOption.DoNotIncludeTests.class)
class PlatformRoomTest {

    private static final int MOST_LINES = 1_500;

    /** Names of the platform's headers, fields and calls that are no ordinary words of this code. */
    private static final Pattern WIRE_NAMES = Pattern.compile(
            "\"/?(pathPrefix|trafficSplit|targetLatencyMs|server-stamp|expect-instance|kv-from|kvhandle|log-append"
                    + "|log-read|log-newest|log-join|prompt-prefix|token-count|keyed\\.op|keyed\\.servers|kv-events"
                    + "|coldLeftMs|maxAttempts|kvTokenBytes)\"",
            Pattern.CASE_INSENSITIVE);

    @ArchTest
    static final ArchRule DECIDES_NOTHING = ArchRuleDefinition.noClasses()
            .that()
            .resideInAPackage("..dogwoodwinch.platform..")
            .should()
            .dependOnClassesThat()
            .haveNameMatching(".*\\.(RetryPolicy|RetryBudget|TargetChooser|LoadTracker|StreamFollower|TimeSource)")
            .orShould()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "..dogwoodwinch.admission..",
                    "..dogwoodwinch.authority..",
                    "..dogwoodwinch.daemon..",
                    "..dogwoodwinch.request..",
                    "..dogwoodwinch.roles..",
                    "..dogwoodwinch.routing..");

    @Test
    void noOtherRoomNamesWhatThePlatformSpeaks() throws IOException {
        try (Stream<Path> files = Files.walk(Path.of("src/main/java/org/dogwoodwinch"))) {
            List<Path> naming = files.filter(file -> file.toString().endsWith(".java"))
                    .filter(file -> !file.toString().contains("/platform/"))
                    .filter(file -> !file.toString().contains("/standin/"))
                    .filter(PlatformRoomTest::namesTheWire)
                    .toList();
            assertEquals(List.of(), naming);
        }
    }

    @Test
    void staysSmall() throws IOException {
        try (Stream<Path> files = Files.walk(Path.of("src/main/java/org/dogwoodwinch/platform"))) {
            long lines = files.filter(file -> file.toString().endsWith(".java"))
                    .mapToLong(file -> read(file).lines().count())
                    .sum();
            assertTrue(lines < MOST_LINES, () -> lines + " lines");
        }
    }

    private static boolean namesTheWire(Path file) {
        return WIRE_NAMES.matcher(read(file)).find();
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }
}
