package org.dogwoodwinch.measure.requests;

import java.util.Optional;
import org.dogwoodwinch.admission.AdmissionController;
import org.dogwoodwinch.admission.AdmissionDecision;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.catalogue.CatalogueEntry;
import org.dogwoodwinch.catalogue.Limits;
import org.dogwoodwinch.catalogue.WorkClass;
import org.dogwoodwinch.request.CallerRequest;
import org.dogwoodwinch.request.Operation;

/** The requests that trials send. */
final class TrialRequests {

    static final long DEADLINE_MILLIS = 60_000;

    static final AdmissionController OPEN = (_request, decision) -> {
        decision.accept(new AdmissionDecision.Granted(_used -> {}));
        return () -> {};
    };

    private static final int MAX_TOKENS = 64;

    private TrialRequests() {}

    static CallerRequest generate(String prompt, long nowMillis) {
        return request(new Operation.Generate(prompt, 10, MAX_TOKENS), prompt.hashCode(), nowMillis);
    }

    static CallerRequest service(int number, long nowMillis) {
        return request(new Operation.Service("POST", "/", "text/plain", Bytes.EMPTY), number, nowMillis);
    }

    private static CallerRequest request(Operation work, long fingerprint, long nowMillis) {
        CatalogueEntry entry = new CatalogueEntry(
                "entry", "malabar", WorkClass.STANDARD, TrialFleet.GROUP, true, DEADLINE_MILLIS, Limits.NONE);
        return new CallerRequest(
                "trial", entry, work, Optional.empty(), fingerprint, nowMillis, nowMillis + DEADLINE_MILLIS);
    }
}
