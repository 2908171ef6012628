package org.dogwoodwinch.request;

import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.dogwoodwinch.admission.AdmissionController;
import org.dogwoodwinch.catalogue.CatalogueEntry;
import org.dogwoodwinch.routing.Router;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetClientFactory;
import org.dogwoodwinch.time.TimeSource;

/** The collaborators that all requests of one instance share; {@link RequestCoordinator} documents them. */
record RequestContext(
        AdmissionController admission,
        Router router,
        TargetClientFactory clients,
        Function<String, Optional<Target>> targetLookup,
        Function<CatalogueEntry, String> modelLookup,
        TimeSource time,
        Supplier<String> attemptIds,
        ClaimStore claimStore,
        Quarantine quarantine,
        RequestObserver observer,
        RequestSettings settings,
        RequestPolicies policies,
        RetryBudget budget,
        JitteredBackoff backoff) {

    long nowMillis() {
        return time.monotonicMillis();
    }
}
