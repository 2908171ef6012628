package org.dogwoodwinch.target;

import java.util.concurrent.CompletionStage;

/** A client of one target of a plain service. */
@FunctionalInterface
public interface ServiceClient {

    /**
     * Sends a call once, without retries.
     *
     * @param call the call, not null
     * @return the answer, or the failure
     */
    CompletionStage<TargetReply<ServiceAnswer>> call(ServiceCall call);
}
