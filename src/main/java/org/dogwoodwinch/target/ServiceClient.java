package org.dogwoodwinch.target;

import java.util.concurrent.CompletionStage;

/** One plain service's target. */
@FunctionalInterface
public interface ServiceClient {

    /**
     * Sends a call, once.
     *
     * @param call the call, not null
     * @return the answer, or the failure
     */
    CompletionStage<TargetReply<ServiceAnswer>> call(ServiceCall call);
}
