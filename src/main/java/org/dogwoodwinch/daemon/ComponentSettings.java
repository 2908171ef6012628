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

/** Converts the daemon's settings to the settings of its components. */
final class ComponentSettings {

    private static final int RETRY_BURST = 10;
    private static final long MAX_BACK_OFF_MILLIS = 1_000;
    private static final long JOIN_WAIT_MILLIS = 5_000;
    private static final long SUSPICION_MILLIS = 600_000;

    private ComponentSettings() {}

    /**
     * Returns the settings for the handling of callers' requests.
     *
     * @param settings the daemon's settings, not null
     * @return the request settings
     */
    static RequestSettings requestSettings(Settings settings) {
        org.dogwoodwinch.settings.RequestSettings requestSettings = settings.requests();
        return new RequestSettings(
                requestSettings.maxAttemptsCount(),
                requestSettings.retryBudgetRatio(),
                RETRY_BURST,
                requestSettings.backOffMillis(),
                Math.max(requestSettings.backOffMillis(), MAX_BACK_OFF_MILLIS),
                settings.targets().firstTokenTimeoutMillis(),
                requestSettings.claimTimeoutMillis(),
                requestSettings.keyMemoryMillis(),
                settings.platform().logRetentionMillis(),
                requestSettings.maxOutcomeBytes(),
                JOIN_WAIT_MILLIS,
                SUSPICION_MILLIS,
                requestSettings.quarantineMillis());
    }

    /**
     * Returns the time-outs of calls to targets.
     *
     * @param settings the daemon's settings, not null
     * @return the time-outs
     */
    static TargetTimeouts targetTimeouts(Settings settings) {
        TargetTimeouts defaults = TargetTimeouts.DEFAULT;
        return new TargetTimeouts(
                defaults.callMillis(),
                settings.leases().orderTimeoutMillis(),
                defaults.resumeMillis(),
                settings.targets().betweenTokensTimeoutMillis(),
                defaults.maxAnswerBytes());
    }

    /**
     * Returns the policies for checkpoints, leases and orders.
     *
     * @param leaseSettings the lease settings, not null
     * @return the policies
     */
    static ControlPolicies controlPolicies(LeaseSettings leaseSettings) {
        OrderPolicy defaults = OrderPolicy.DEFAULT;
        return new ControlPolicies(
                ControlPolicies.STANDARD.checkpointRule(),
                new LeasePolicy(
                        leaseSettings.termMillis(),
                        leaseSettings.marginMillis(),
                        leaseSettings.renewMillis(),
                        LeasePolicy.DEFAULT.claimStaggerMillis()),
                new OrderPolicy(
                        leaseSettings.orderTimeoutMillis(),
                        leaseSettings.orderTimeoutMillis(),
                        defaults.statePollIntervalMillis(),
                        defaults.reassertIntervalMillis(),
                        defaults.retryDelayMillis(),
                        defaults.expiryMillis(),
                        defaults.minDrainMillis(),
                        defaults.maxNonUrgentDrainMillis(),
                        defaults.fencingTokenRule()));
    }

    /**
     * Returns the admission policy.
     *
     * @param admissionSettings the admission settings, not null
     * @return the policy
     */
    static AdmissionPolicy admissionPolicy(AdmissionSettings admissionSettings) {
        AdmissionPolicy defaults = AdmissionPolicy.STANDARD;
        return new AdmissionPolicy(
                admissionSettings.maxQueuedCount(),
                admissionSettings.maxQueuedCount(),
                admissionSettings.maxQueuedCount(),
                defaults.urgentMaxTargetWaitMillis(),
                defaults.standardMaxTargetWaitMillis(),
                defaults.longReadMaxTargetWaitMillis(),
                admissionSettings.longReadFloorRatio(),
                defaults.completionSafetyFactor(),
                defaults.maxLimitWaitMillis(),
                defaults.limitQueueCapacity(),
                defaults.peerReportIntervalMillis(),
                defaults.sweepIntervalMillis());
    }

    /**
     * Returns the settings for sharing the owners' limits among the instances.
     *
     * @param admissionSettings the admission settings, not null
     * @return the sharing settings
     */
    static LimitShareSettings limitShareSettings(AdmissionSettings admissionSettings) {
        LimitShareSettings defaults = LimitShareSettings.SINGLE_INSTANCE;
        return new LimitShareSettings(
                admissionSettings.limitHomeIndex(),
                admissionSettings.limitHomesCount(),
                defaults.maxTermMillis(),
                defaults.clockDriftMarginMillis(),
                defaults.publishIntervalMillis());
    }
}
