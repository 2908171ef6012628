package org.dogwoodwinch.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class StoreReadBudgetTest {

    @Test
    void partsAddUpToUsableTime() {
        StoreReadBudget budget = new StoreReadBudget(2_000, 600, 200);

        assertEquals(1_800, budget.usableMillis());
        assertEquals(1_200, budget.maxAgeMillis());
        assertEquals(275, budget.secondReadAfterMillis());
        assertTrue(budget.isKept());
    }

    @Test
    void leastPromiseIsKeptAndLessIsNot() {
        long leastMillis = new StoreReadBudget(500, 600, 100).leastPromisedMillis();

        assertTrue(new StoreReadBudget(leastMillis, 600, 100).isKept());
        assertFalse(new StoreReadBudget(leastMillis - 2, 600, 100).isKept());
    }

    /** Guards against an instance that starts with intervals by which it cannot keep what is promised. */
    @Test
    void promiseThatReadsCannotKeepIsRefusedWithFieldNames() {
        List<String> problems = problems("\"promises\":{\"drainMillis\":1000,\"configurationMillis\":1500}");

        assertTrue(
                problems.contains("f:1: promises: drainMillis 1000 cannot be kept with store.waitMillis 600 and"
                        + " store.pauseMillis 100: at least 1695"),
                problems::toString);
        assertTrue(
                problems.stream().anyMatch(each -> each.contains("promises: configurationMillis 1500 cannot be kept")),
                problems::toString);
        assertEquals(List.of(), problems("\"promises\":{\"drainMillis\":2000}"));
    }

    private static List<String> problems(String section) {
        String json = "{\"instance\":{\"name\":\"a\",\"dataCentre\":\"d\"},\"forwarding\":{\"listen\":\"127.0.0.1:0\","
                + "\"readyListen\":\"127.0.0.1:0\",\"metricsListen\":\"127.0.0.1:0\"},"
                + "\"store\":{\"address\":\"127.0.0.1:9\"},\"peers\":{\"listen\":\"127.0.0.1:0\"}," + section + "}";
        return SettingsLoader.parse("f", json)
                .match(
                        _loaded -> List.of(),
                        problems ->
                                problems.stream().map(SettingsProblem::toString).toList());
    }
}
