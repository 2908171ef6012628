package org.dogwoodwinch.daemon;

import java.util.function.Consumer;
import org.dogwoodwinch.admission.Admission;
import org.dogwoodwinch.admission.AdmissionDecision;
import org.dogwoodwinch.request.CallerRequest;
import org.dogwoodwinch.time.Cancellable;

/** Admits everything; for measurements of the path alone. */
final class OpenAdmission implements Admission {

    @Override
    public Cancellable admit(CallerRequest _request, Consumer<AdmissionDecision> decision) {
        decision.accept(new AdmissionDecision.Granted(_usedTokens -> {}));
        return () -> {};
    }
}
