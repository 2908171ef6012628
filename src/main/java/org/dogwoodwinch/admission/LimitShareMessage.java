package org.dogwoodwinch.admission;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.List;
import java.util.Objects;

/**
 * What one instance tells the others about its shares; the newest note says all, so that a lost one loses nothing.
 *
 * @param homeIndex the sender's home
 * @param incarnation tells the sender's present life from an earlier one; it grows with each start
 * @param stampMillis the sender's monotonic time; a grant repeats it, and the grant's term counts from it
 * @param lives the newest incarnation the sender knows of each home, by index; zero where it knows none, not null
 * @param wants the units it would borrow, not null
 * @param grants the units it lends, not null
 * @param holds the grants it has borrowed, not null
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"homeIndex", "incarnation", "stampMillis", "lives", "wants", "grants", "holds"})
public record LimitShareMessage(
        int homeIndex,
        long incarnation,
        long stampMillis,
        List<Long> lives,
        List<BorrowRequest> wants,
        List<Grant> grants,
        List<HeldGrant> holds) {

    /** Copies the lists. */
    public LimitShareMessage {
        lives = List.copyOf(lives);
        wants = List.copyOf(wants);
        grants = List.copyOf(grants);
        holds = List.copyOf(holds);
    }

    /**
     * A wish to borrow.
     *
     * @param limitId the limit, not null
     * @param units how many units
     * @param termMillis for how long, in milliseconds
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"limitId", "units", "termMillis"})
    public record BorrowRequest(String limitId, long units, long termMillis) {

        /** Checks the parts. */
        public BorrowRequest {
            Objects.requireNonNull(limitId, "limitId");
        }
    }

    /**
     * Units lent.
     *
     * @param limitId the limit, not null
     * @param grantId names the grant among its lender's
     * @param toIndex the borrower's home
     * @param toIncarnation the borrower's incarnation
     * @param units how many units
     * @param echoStampMillis the borrower's own stamp from which the term counts
     * @param termMillis the term, in milliseconds
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"limitId", "grantId", "toIndex", "toIncarnation", "units", "echoStampMillis", "termMillis"})
    public record Grant(
            String limitId,
            long grantId,
            int toIndex,
            long toIncarnation,
            long units,
            long echoStampMillis,
            long termMillis) {

        /** Checks the parts. */
        public Grant {
            Objects.requireNonNull(limitId, "limitId");
        }
    }

    /**
     * A grant that the sender has borrowed.
     *
     * @param limitId the limit, not null
     * @param lenderIndex the lender's home
     * @param lenderIncarnation the lender's incarnation
     * @param grantId the grant
     * @param units how many units
     * @param state what becomes of it, not null
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"limitId", "lenderIndex", "lenderIncarnation", "grantId", "units", "state"})
    public record HeldGrant(
            String limitId, int lenderIndex, long lenderIncarnation, long grantId, long units, HeldGrantState state) {

        /** Checks the parts. */
        public HeldGrant {
            Objects.requireNonNull(limitId, "limitId");
            Objects.requireNonNull(state, "state");
        }
    }

    /** What becomes of a borrowed grant. */
    public enum HeldGrantState {
        /** In use or wanted: the lender may lengthen it. */
        RENEW,
        /** Given back: the lender may use the units again. */
        RETURNED
    }
}
