package org.dogwoodwinch.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SettingsLoaderTest {

    private static final String COMPLETE = """
            {
              // a comment
              "instance": {"name": "a", "dataCentre": "d"},
              "admission": {"limitHomeIndex": 0, "limitHomesCount": 6},
              "peers": {"secretFile": "s"},
              "platform": {
                "logUrl": "http://127.0.0.1:1",
                "instanceListUrl": "http://127.0.0.1:1",
                "weightStoreUrl": "http://127.0.0.1:1"
              }
              /* more */
            }
            """;

    @ParameterizedTest
    @ValueSource(strings = {"malabar", "albuquerque"})
    void theExamplesAreRight(String name) {
        assertInstanceOf(SettingsResult.Loaded.class, SettingsLoader.load(Path.of("examples", name + ".json")));
    }

    @Test
    void leftOutFieldsTakeTheirDefaults() {
        Settings settings = SettingsLoader.parse("f", COMPLETE).match(loaded -> (Settings) loaded, problems -> {
            throw new AssertionError(problems);
        });
        assertEquals(8080, settings.callers().port());
        assertEquals(6_000, settings.leases().termMillis());
    }

    /** The operator sees every problem of the file in one run, each with its line and field, not the first alone. */
    @Test
    void allProblemsAreToldInOneRun() {
        String text = COMPLETE.replace("// a comment", """
                "callers": {"port": 8081, "idleTimeout": 5, "maxBodyBytes": "4 MB"},
                "leases": {"termMillis": 2000, "marginMillis": 1000, "renewMillis": 1500},
                "stop": {"drainMillis": -1},
                "rolse": {},
                """);
        List<String> problems = problems(text);
        assertTrue(
                problems.contains("f:2: callers.idleTimeout: lacks its unit: write idleTimeoutMillis"),
                problems::toString);
        assertTrue(problems.contains("f:2: callers.maxBodyBytes: must be a number without quotes or unit, not a text"));
        assertTrue(problems.contains(
                "f:3: leases.renewMillis: renewMillis and marginMillis together must be less than termMillis"));
        assertTrue(problems.contains("f:4: stop.drainMillis: must be from 0 to 3600000, not -1"));
        assertTrue(problems.stream().anyMatch(each -> each.startsWith("f:5: rolse: is unknown here")));
        assertTrue(problems.stream().anyMatch(each -> each.contains("port 8081 clashes with callers.port")));
    }

    @Test
    void missingFieldsAreNamed() {
        List<String> problems = problems("{}");
        assertTrue(problems.contains("f:1: instance.name: is missing"));
        assertTrue(problems.contains("f:1: platform.logUrl: is missing"));
        assertTrue(problems.contains("f:1: admission.limitHomesCount: is missing"));
    }

    @Test
    void aFieldGivenTwiceIsRefused() {
        assertTrue(problems(COMPLETE.replace("\"name\": \"a\"", "\"name\": \"a\", \"name\": \"b\""))
                .contains("f:3: instance.name: is given twice"));
    }

    /** A key remembered beyond the log's retention would be forgotten early, and its resend would run twice. */
    @Test
    void aKeyMemoryBeyondTheLogsRetentionIsRefused() {
        String text = COMPLETE.replace("// a comment", "\"requests\": {\"keyMemoryMillis\": 1800001},");
        assertEquals(
                List.of("f:2: requests: keyMemoryMillis must be at most half of platform.logRetentionMillis"),
                problems(text));
    }

    @Property(seed = "11", tries = 300)
    void noTextMakesTheLoaderThrow(@ForAll String text) {
        SettingsLoader.parse("f", text);
        SettingsLoader.parse("f", "{" + text + "}");
    }

    private static List<String> problems(String text) {
        return SettingsLoader.parse("f", text)
                .match(
                        _settings -> List.of(),
                        problems ->
                                problems.stream().map(SettingsProblem::toString).toList());
    }
}
