package org.dogwoodwinch.admission;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.List;
import java.util.Objects;

/**
 * A message in which one instance publishes the state of its limit shares to the others. Each message holds the full
 * state, so the loss of an earlier one has no effect.
 *
 * @param homeIndex the home index of the sender
 * @param incarnation the incarnation of the sender, which grows with each start
 * @param stampMillis the sender's monotonic time; a grant to the sender repeats it, and the sender counts the grant's
 *     term from it
 * @param lives the latest incarnation of each home that the sender knows, by home index; zero if it knows none, not
 *     null
 * @param wants the requests of the sender to borrow units, not null
 * @param grants the grants of units that the sender lends, not null
 * @param holds the grants that the sender holds as a borrower, not null
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
     * A request to borrow units of a limit.
     *
     * @param limitId the identifier of the limit, not null
     * @param units the number of units
     * @param termMillis the requested term, in milliseconds
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"limitId", "units", "termMillis"})
    public record BorrowRequest(String limitId, long units, long termMillis) {

        /** Validates the components. */
        public BorrowRequest {
            Objects.requireNonNull(limitId, "limitId");
        }
    }

    /**
     * A grant of units from the sender to a borrower.
     *
     * @param limitId the identifier of the limit, not null
     * @param grantId the identifier of the grant, unique for its lender's incarnation
     * @param toIndex the home index of the borrower
     * @param toIncarnation the incarnation of the borrower
     * @param units the number of units
     * @param echoStampMillis the time stamp of the borrower's message, from which the borrower counts the term
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

        /** Validates the components. */
        public Grant {
            Objects.requireNonNull(limitId, "limitId");
        }
    }

    /**
     * A grant that the sender holds as a borrower.
     *
     * @param limitId the identifier of the limit, not null
     * @param lenderIndex the home index of the lender
     * @param lenderIncarnation the incarnation of the lender
     * @param grantId the identifier of the grant at its lender
     * @param units the number of units
     * @param state whether the sender keeps the grant or has returned it, not null
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"limitId", "lenderIndex", "lenderIncarnation", "grantId", "units", "state"})
    public record HeldGrant(
            String limitId, int lenderIndex, long lenderIncarnation, long grantId, long units, HeldGrantState state) {

        /** Validates the components. */
        public HeldGrant {
            Objects.requireNonNull(limitId, "limitId");
            Objects.requireNonNull(state, "state");
        }
    }

    /** Whether a borrower keeps a grant. */
    public enum HeldGrantState {
        /** The borrower keeps the grant; the lender may extend it. */
        RENEW,
        /** The borrower has returned the grant; the lender may use the units again. */
        RETURNED
    }
}
