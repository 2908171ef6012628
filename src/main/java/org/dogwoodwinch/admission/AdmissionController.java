package org.dogwoodwinch.admission;

import java.util.function.Consumer;
import org.dogwoodwinch.request.CallerRequest;
import org.dogwoodwinch.time.Cancellable;

/** Decides whether and when a request may start, from its owner's limits, its deadline and the work already queued. */
public interface AdmissionController {

    /**
     * Requests a permit. The listener receives exactly one decision, immediately or after a wait in a queue; it
     * receives none if the request is cancelled first.
     *
     * @param request the request, not null
     * @param decisionListener receives the decision, not null; it may be called before this method returns
     * @return a handle that cancels the request while it waits
     */
    Cancellable admit(CallerRequest request, Consumer<AdmissionDecision> decisionListener);
}
