package org.dogwoodwinch.catalogue;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class CatalogueStateTest {

    private final CatalogueState state = new CatalogueState(Catalogue.EMPTY, List.of());

    /** Guards against an edit that overwrites a concurrent edit of the same revision that precedes it in the log. */
    @Test
    void secondEditOnSameBaseIsConflict() {
        state.apply(4, edit("first", Catalogue.NO_REVISION, 100));
        EditOutcome second = state.apply(5, edit("second", Catalogue.NO_REVISION, 200));
        assertEquals(new EditOutcome.Conflict("first", "meera", 4), second);
        assertEquals(100, state.catalogue().entries().get("booking").deadlineMillis());
    }

    /** Guards against an edit that is applied twice because a tool lost the answer and appended it again. */
    @Test
    void duplicateEditReturnsOriginalOutcome() {
        EditOutcome first = state.apply(4, edit("e", Catalogue.NO_REVISION, 100));
        state.apply(6, edit("f", 4, 200));
        assertEquals(first, state.apply(9, edit("e", Catalogue.NO_REVISION, 100)));
        assertEquals(6, state.catalogue().revision());
    }

    @Test
    void inconsistentEditLeavesCatalogueUnchanged() {
        CatalogueChange change = new CatalogueChange(
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.copyOf(SampleCatalogues.withDeadline(0, 1).entries().values()),
                List.of());
        EditOutcome outcome = state.apply(1, new CatalogueEdit("e", "meera", 0, Catalogue.NO_REVISION, change));
        assertTrue(outcome instanceof EditOutcome.Invalid);
        assertEquals(Catalogue.EMPTY, state.catalogue());
    }

    @Property(seed = "41", tries = 300)
    void restoredCopyAppliesEditsIdentically(@ForAll @Size(max = 40) List<@IntRange(max = 5) Integer> lags) {
        CatalogueState original = new CatalogueState(Catalogue.EMPTY, List.of());
        CatalogueState copy = new CatalogueState(Catalogue.EMPTY, List.of());
        long offset = 0;
        for (int lag : lags) {
            offset++;
            CatalogueEdit edit =
                    edit("e" + offset % 7, Math.max(-1, original.catalogue().revision() - lag / 4), offset);
            assertEquals(original.apply(offset, edit), copy.apply(offset, edit));
            copy = new CatalogueState(copy.catalogue(), copy.history());
        }
        assertEquals(original.catalogue(), copy.catalogue());
    }

    private static CatalogueEdit edit(String id, long base, long deadlineMillis) {
        CatalogueChange change =
                CatalogueChange.between(Catalogue.EMPTY, SampleCatalogues.withDeadline(base, deadlineMillis));
        return new CatalogueEdit(id, "meera", 0, base, change);
    }
}
