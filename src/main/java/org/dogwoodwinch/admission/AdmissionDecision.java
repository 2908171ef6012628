package org.dogwoodwinch.admission;

import java.util.function.Function;
import org.dogwoodwinch.request.Refusal;

/** The outcome of asking for admission. */
public sealed interface AdmissionDecision {

    /**
     * The request may start.
     *
     * @param permit to be released when it ends
     */
    record Granted(Permit permit) implements AdmissionDecision {}

    /**
     * The request is refused; it did not run.
     *
     * @param refusal why
     */
    record Refused(Refusal refusal) implements AdmissionDecision {}

    /**
     * Calls the function of this decision's kind.
     *
     * @param onGranted for {@link Granted}
     * @param onRefused for {@link Refused}
     * @param <T> what the functions return
     * @return what the function returned
     */
    default <T> T match(Function<Permit, T> onGranted, Function<Refusal, T> onRefused) {
        if (this instanceof Granted grantedDecision) {
            return onGranted.apply(grantedDecision.permit());
        }
        return onRefused.apply(((Refused) this).refusal());
    }
}
