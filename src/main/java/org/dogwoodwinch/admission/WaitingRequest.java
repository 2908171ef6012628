package org.dogwoodwinch.admission;

import java.util.function.Consumer;
import org.dogwoodwinch.catalogue.WorkClass;
import org.dogwoodwinch.request.CallerRequest;
import org.dogwoodwinch.request.Operation;

/** A request that waits for admission. Not thread-safe: callers hold the monitor of {@link QueueingAdmissionController}. */
final class WaitingRequest {

    private final CallerRequest request;
    private final Consumer<AdmissionDecision> decisionListener;
    private final long limitDeadlineMillis;
    private OwnerLimits.LimitPermit permit;
    private double workMillis;
    private boolean settled;

    WaitingRequest(CallerRequest request, Consumer<AdmissionDecision> decisionListener, long limitDeadlineMillis) {
        this.request = request;
        this.decisionListener = decisionListener;
        this.limitDeadlineMillis = limitDeadlineMillis;
    }

    CallerRequest request() {
        return request;
    }

    Consumer<AdmissionDecision> decisionListener() {
        return decisionListener;
    }

    WorkClass workClass() {
        return request.entry().workClass();
    }

    String group() {
        return request.entry().group();
    }

    long promptTokens() {
        return request.operation().match(Operation.Generate::promptTokens, _service -> 0L);
    }

    int maxTokens() {
        return request.operation().match(Operation.Generate::maxTokens, _service -> 0);
    }

    long maxTotalTokens() {
        return promptTokens() + maxTokens();
    }

    /** Returns the time until which the request may wait for its owner's limits. */
    long limitDeadlineMillis() {
        return limitDeadlineMillis;
    }

    OwnerLimits.LimitPermit permit() {
        return permit;
    }

    void setPermit(OwnerLimits.LimitPermit newPermit) {
        permit = newPermit;
    }

    double workMillis() {
        return workMillis;
    }

    void setWorkMillis(double millis) {
        workMillis = millis;
    }

    boolean isSettled() {
        return settled;
    }

    void markSettled() {
        settled = true;
    }
}
