package org.dogwoodwinch.admission;

import java.util.function.Consumer;
import org.dogwoodwinch.request.CallerRequest;
import org.dogwoodwinch.time.Cancellable;

/** Decides whether and when a request may start: owners' limits, deadlines, bounded queues by class of work. */
public interface Admission {

    /**
     * Asks for a permit. The decision comes exactly once, at once or after a wait in the queue, unless it is cancelled.
     *
     * @param request the request, not null
     * @param decisionListener takes the decision, not null; it may be called before this method returns
     * @return cancels the wait
     */
    Cancellable admit(CallerRequest request, Consumer<AdmissionDecision> decisionListener);
}
