package org.dogwoodwinch.admission;

import java.util.function.Function;
import org.dogwoodwinch.request.Refusal;

/** The outcome of a request for admission. */
public sealed interface AdmissionDecision {

    /**
     * The request may start.
     *
     * @param permit the permit, to be released when the request ends
     */
    record Granted(Permit permit) implements AdmissionDecision {}

    /**
     * The request is refused and was not run.
     *
     * @param refusal the reason for the refusal
     */
    record Refused(Refusal refusal) implements AdmissionDecision {}

    /**
     * Applies the function that matches the kind of this decision.
     *
     * @param onGranted applied to the permit of a {@link Granted} decision
     * @param onRefused applied to the refusal of a {@link Refused} decision
     * @param <T> the result type of the functions
     * @return the result of the applied function
     */
    default <T> T match(Function<Permit, T> onGranted, Function<Refusal, T> onRefused) {
        if (this instanceof Granted grantedDecision) {
            return onGranted.apply(grantedDecision.permit());
        }
        return onRefused.apply(((Refused) this).refusal());
    }
}
