package org.dogwoodwinch.measure.requests;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.catalogue.CatalogueEntry;
import org.dogwoodwinch.request.Quarantine;
import org.dogwoodwinch.request.RequestCoordinator;
import org.dogwoodwinch.request.RequestObserver;
import org.dogwoodwinch.request.RequestPolicies;
import org.dogwoodwinch.request.RequestSettings;
import org.dogwoodwinch.request.UnavailableClaimStore;
import org.dogwoodwinch.target.EngineClient;
import org.dogwoodwinch.target.ServiceAnswer;
import org.dogwoodwinch.target.ServiceClient;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetClientFactory;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.TargetReply;
import org.dogwoodwinch.time.VirtualTimeSource;

/** Sends repeatable requests at a steady rate to targets that fail with a given chance, and counts attempts. */
final class RetryTrial {

    /** What one trial found. */
    record Found(double amplification, double answeredShare) {}

    private static final int REQUESTS_PER_MILLI = 1;
    private static final int TARGETS = 11;

    private RetryTrial() {}

    static RequestSettings withoutBudget() {
        RequestSettings base = RequestSettings.DEFAULT;
        return new RequestSettings(
                base.maxAttempts(),
                1,
                1_000_000,
                base.backoffBaseMillis(),
                base.backoffMaxMillis(),
                base.stallTimeoutMillis(),
                base.claimTimeoutMillis(),
                base.keyMemoryMillis(),
                base.logRetentionMillis(),
                base.maxStoredAnswerBytes(),
                base.joinWaitMillis(),
                base.suspicionMillis(),
                base.quarantineMillis());
    }

    static Found run(RequestSettings settings, double failureShare, int requests, long seed) {
        VirtualTimeSource time = new VirtualTimeSource(0);
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        TrialFleet fleet = new TrialFleet(TARGETS, time, random);
        FailingService service = new FailingService(random, failureShare);
        TrialSink sink = new TrialSink();
        RequestCoordinator coordinator = new RequestCoordinator(
                TrialRequests.OPEN,
                fleet,
                service,
                _name -> Optional.empty(),
                CatalogueEntry::group,
                time,
                RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 1),
                new UnavailableClaimStore(),
                Quarantine.NONE,
                RequestObserver.NONE,
                settings,
                RequestPolicies.STANDARD);
        for (int i = 0; i < requests; i++) {
            coordinator.submit(TrialRequests.service(i, time.monotonicMillis()), sink);
            if (i % REQUESTS_PER_MILLI == 0) {
                time.advanceMillis(1);
            }
        }
        time.advanceMillis(TrialRequests.DEADLINE_MILLIS);
        return new Found(service.calls / (double) requests, sink.answers() / (double) requests);
    }

    /** Answers at once, or fails with a chance. */
    private static final class FailingService implements TargetClientFactory {

        private final UniformRandomProvider random;
        private final double failureShare;
        private long calls;

        FailingService(UniformRandomProvider random, double failureShare) {
            this.random = random;
            this.failureShare = failureShare;
        }

        @Override
        public EngineClient engineClient(Target target) {
            throw new IllegalStateException("no engine here: " + target);
        }

        @Override
        public ServiceClient serviceClient(Target _target) {
            return _call -> {
                calls++;
                TargetReply<ServiceAnswer> reply = random.nextDouble() < failureShare
                        ? new TargetReply.Failure<>(new TargetFailure.Failed("failed"))
                        : new TargetReply.Answer<>(new ServiceAnswer(200, "text/plain", Bytes.EMPTY));
                return CompletableFuture.completedFuture(reply);
            };
        }
    }
}
