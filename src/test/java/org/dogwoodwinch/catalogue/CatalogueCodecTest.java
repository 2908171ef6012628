package org.dogwoodwinch.catalogue;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class CatalogueCodecTest {

    private final CatalogueCodec codec = new CatalogueCodec();

    @Test
    void writtenCatalogueIsReadUnchanged() {
        Catalogue catalogue = SampleCatalogues.withDeadline(7, 2_000);
        assertEquals(new CatalogueReadResult.Valid(catalogue), codec.read(codec.write(catalogue)));
    }

    /** Guards against reporting only some problems, so that an operator needs several attempts to correct a file. */
    @Test
    void everyProblemIsReportedWithItsField() {
        List<String> fields = problemFields("""
                { "revision": "x", // a comment
                  "owners": [ {"name": "malabar", "tokenHashes": [3], "limits": {"maxConcurrent": -1}, "colour": 1} ],
                  "groups": [ {"name": "reading", "kind": "ENGIN", "model": 4, "checksFencing": "yes"} ],
                  "entries": [ {"name": "booking", "owner": "malabar", "workClass": "URGENT", "group": "reading",
                                "repeatable": true, "deadlineMillis": 0 },
                               {"name": "booking", "owner": "malabar", "workClass": "URGENT", "group": "reading",
                                "deadlineMillis": 5 } ] }
                """);
        assertEquals(
                List.of(
                        "entries[0].deadlineMillis",
                        "entries[1].name",
                        "entries[1].repeatable",
                        "groups[0].checksFencing",
                        "groups[0].kind",
                        "groups[0].model",
                        "owners[0].colour",
                        "owners[0].limits.maxConcurrent",
                        "owners[0].tokenHashes[0]",
                        "revision"),
                fields);
    }

    @Test
    void inconsistentReferencesAreReported() {
        String document = """
                { "revision": 3,
                  "owners": [ {"name": "a", "tokenHashes": ["abc"]} ],
                  "groups": [ {"name": "reading", "kind": "ENGINE", "checksFencing": true},
                              {"name": "ledger", "kind": "SERVICE", "model": "m", "checksFencing": false} ],
                  "entries": [ {"name": "no spaces", "owner": "b", "workClass": "URGENT", "group": "gone",
                                "repeatable": true, "deadlineMillis": 1 } ] }
                """;
        assertEquals(
                List.of(
                        "entries[no spaces].group",
                        "entries[no spaces].name",
                        "entries[no spaces].owner",
                        "groups[ledger].model",
                        "groups[reading].model",
                        "owners[a].tokenHashes"),
                problemFields(document));
    }

    @Test
    void malformedJsonIsReportedWithItsLine() {
        assertEquals(List.of("line 2"), problemFields("{\n nonsense }"));
    }

    private List<String> problemFields(String document) {
        CatalogueReadResult result = codec.read(document);
        assertTrue(result instanceof CatalogueReadResult.Invalid);
        return ((CatalogueReadResult.Invalid) result)
                .problems().stream().map(CatalogueProblem::field).sorted().toList();
    }
}
