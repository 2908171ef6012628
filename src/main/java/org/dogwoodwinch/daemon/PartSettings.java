package org.dogwoodwinch.daemon;

import org.dogwoodwinch.admission.AdmissionPolicy;
import org.dogwoodwinch.admission.LimitShareSettings;
import org.dogwoodwinch.authority.LeasePolicy;
import org.dogwoodwinch.authority.OrderPolicy;
import org.dogwoodwinch.control.ControlPolicies;
import org.dogwoodwinch.request.RequestSettings;
import org.dogwoodwinch.settings.AdmissionSettings;
import org.dogwoodwinch.settings.LeaseSettings;
import org.dogwoodwinch.settings.Settings;
import org.dogwoodwinch.target.http.TargetTimeouts;

/** Turns the daemon's settings into those of its parts. */
final class PartSettings {

    private static final int RETRY_BURST = 10;
    private static final long LONGEST_BACK_OFF_MILLIS = 1_000;
    private static final long JOIN_WAIT_MILLIS = 5_000;
    private static final long SUSPECT_MILLIS = 600_000;

    private PartSettings() {}

    /**
     * Returns the settings of a request's life.
     *
     * @param settings the daemon's settings, not null
     * @return the settings
     */
    static RequestSettings requests(Settings settings) {
        org.dogwoodwinch.settings.RequestSettings own = settings.requests();
        return new RequestSettings(
                own.maxAttemptsCount(),
                own.retryBudgetRatio(),
                RETRY_BURST,
                own.backOffMillis(),
                Math.max(own.backOffMillis(), LONGEST_BACK_OFF_MILLIS),
                settings.targets().firstTokenTimeoutMillis(),
                own.claimTimeoutMillis(),
                own.keyMemoryMillis(),
                settings.platform().logRetentionMillis(),
                own.maxOutcomeBytes(),
                JOIN_WAIT_MILLIS,
                SUSPECT_MILLIS,
                own.quarantineMillis());
    }

    /**
     * Returns the times of calls to targets.
     *
     * @param settings the daemon's settings, not null
     * @return the times
     */
    static TargetTimeouts timeouts(Settings settings) {
        TargetTimeouts standard = TargetTimeouts.DEFAULT;
        return new TargetTimeouts(
                standard.callMillis(),
                settings.leases().orderTimeoutMillis(),
                standard.resumeMillis(),
                settings.targets().betweenTokensTimeoutMillis(),
                standard.maxAnswerBytes());
    }

    /**
     * Returns the rules of leases and orders.
     *
     * @param own the lease settings, not null
     * @return the rules
     */
    static ControlPolicies control(LeaseSettings own) {
        OrderPolicy standard = OrderPolicy.DEFAULT;
        return new ControlPolicies(
                ControlPolicies.STANDARD.checkpointRule(),
                new LeasePolicy(
                        own.termMillis(),
                        own.marginMillis(),
                        own.renewMillis(),
                        LeasePolicy.DEFAULT.claimStaggerMillis()),
                new OrderPolicy(
                        own.orderTimeoutMillis(),
                        own.orderTimeoutMillis(),
                        standard.statePollIntervalMillis(),
                        standard.reassertIntervalMillis(),
                        standard.retryDelayMillis(),
                        standard.expiryMillis(),
                        standard.minDrainMillis(),
                        standard.maxNonUrgentDrainMillis(),
                        standard.fencingTokenRule()));
    }

    /**
     * Returns the constants of admission.
     *
     * @param own the admission settings, not null
     * @return the constants
     */
    static AdmissionPolicy admission(AdmissionSettings own) {
        AdmissionPolicy standard = AdmissionPolicy.STANDARD;
        return new AdmissionPolicy(
                own.maxQueuedCount(),
                own.maxQueuedCount(),
                own.maxQueuedCount(),
                standard.urgentMaxTargetWaitMillis(),
                standard.standardMaxTargetWaitMillis(),
                standard.longReadMaxTargetWaitMillis(),
                own.longReadFloorRatio(),
                standard.completionSafetyFactor(),
                standard.maxLimitWaitMillis(),
                standard.limitQueueCapacity(),
                standard.peerReportIntervalMillis(),
                standard.sweepIntervalMillis());
    }

    /**
     * Returns how owners' limits are shared.
     *
     * @param own the admission settings, not null
     * @return the settings
     */
    static LimitShareSettings shares(AdmissionSettings own) {
        LimitShareSettings standard = LimitShareSettings.SINGLE_INSTANCE;
        return new LimitShareSettings(
                own.limitHomeIndex(),
                own.limitHomesCount(),
                standard.maxTermMillis(),
                standard.clockDriftMarginMillis(),
                standard.publishIntervalMillis());
    }
}
