package org.dogwoodwinch.follow;

import java.util.Objects;
import java.util.Optional;

/**
 * The last record of a writer that the store acknowledged. Confined to one event loop.
 *
 * <p>Failure: the acknowledgement of that record is taken for the one of the next record, which is missing then and
 * which nobody writes again. No two records have the same offset.
 */
public final class LastAppend {

    private Optional<ConditionalLog.Written> last = Optional.empty();

    /**
     * Returns whether a result may be that of another record.
     *
     * @param result the result, not null
     * @return whether it differs from the last acknowledgement
     */
    public boolean mayBeFollowedBy(ConditionalLog.Appended result) {
        return last.filter(result::equals).isEmpty();
    }

    /**
     * Records a result.
     *
     * @param result the result of an append, not null
     * @return whether the record was written
     */
    public boolean record(ConditionalLog.Appended result) {
        Objects.requireNonNull(result, "result");
        if (result instanceof ConditionalLog.Written written) {
            last = Optional.of(written);
            return true;
        }
        return false;
    }
}
