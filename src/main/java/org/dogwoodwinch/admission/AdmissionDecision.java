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
    record Denied(Refusal refusal) implements AdmissionDecision {}

    /**
     * Calls the function of this decision's kind.
     *
     * @param granted for {@link Granted}
     * @param denied for {@link Denied}
     * @param <T> what the functions return
     * @return what the function returned
     */
    default <T> T match(Function<Permit, T> granted, Function<Refusal, T> denied) {
        if (this instanceof Granted value) {
            return granted.apply(value.permit());
        }
        return denied.apply(((Denied) this).refusal());
    }
}
