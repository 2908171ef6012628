package org.dogwoodwinch.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.catalogue.Catalogue;
import org.dogwoodwinch.catalogue.CatalogueEntry;
import org.dogwoodwinch.catalogue.CatalogueView;
import org.dogwoodwinch.catalogue.Limits;
import org.dogwoodwinch.catalogue.Owner;
import org.dogwoodwinch.catalogue.WorkClass;
import org.dogwoodwinch.peer.PeerBus;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.peer.PeerUpdate;
import org.dogwoodwinch.request.CallerRequest;
import org.dogwoodwinch.request.Operation;
import org.dogwoodwinch.request.Refusal;
import org.dogwoodwinch.request.RefusalReason;
import org.dogwoodwinch.request.RunState;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class QueueingAdmissionControllerTest {

    private static final Limits MAX_TWO_CONCURRENT = new Limits(2, 0, 0, 0);
    private static final Limits HUNDRED_TOKENS_PER_SECOND = new Limits(0, 100, 0, 0);

    private final VirtualTimeSource time = new VirtualTimeSource(0);
    private final List<String> outcomes = new ArrayList<>();
    private final List<Permit> permits = new ArrayList<>();
    private final List<Refusal> refusals = new ArrayList<>();
    private double targetWaitMillis;
    private boolean targetAvailable = true;

    @Test
    void urgentRequestWithUnmeetableDeadlineIsRefusedAtOnceWithRetryAfter() {
        QueueingAdmissionController admission = createAdmission(Limits.NONE);
        targetWaitMillis = 3_000;
        admission.admit(request("u", WorkClass.URGENT, 2_000, 10), recordOutcome("u"));
        assertEquals(RefusalReason.DEADLINE_UNMEETABLE, refusals.get(0).reason());
        assertEquals(RunState.NOT_RUN, refusals.get(0).runState());
        assertTrue(refusals.get(0).retryAfterMillis() > 0);
    }

    @Test
    void queuedRequestIsRefusedOnceItsDeadlineCannotBeMet() {
        QueueingAdmissionController admission = createAdmission(Limits.NONE);
        targetWaitMillis = 700;
        admission.admit(request("u", WorkClass.URGENT, 2_000, 10), recordOutcome("u"));
        time.advanceMillis(1_900);
        targetWaitMillis = 0;
        time.advanceMillis(200);
        assertEquals(List.of("u refused"), outcomes);
    }

    @Test
    void requestsStartByClassAndUrgentOnesByDeadline() {
        QueueingAdmissionController admission = createAdmission(Limits.NONE);
        targetWaitMillis = 700;
        admission.admit(request("long", WorkClass.LONG_READ, 900_000, 10), recordOutcome("long"));
        admission.admit(request("standard", WorkClass.STANDARD, 20_000, 10), recordOutcome("standard"));
        admission.admit(request("later", WorkClass.URGENT, 9_000, 10), recordOutcome("later"));
        admission.admit(request("sooner", WorkClass.URGENT, 5_000, 10), recordOutcome("sooner"));
        targetWaitMillis = 0;
        time.advanceMillis(100);
        assertEquals(List.of("sooner", "later", "standard", "long"), outcomes);
    }

    /** Urgent load could starve a long read of A tokens beyond A * (1 - floor) / floor tokens and one request. */
    @Property(seed = "11", tries = 60)
    void longReadStartsWithinItsTokenBoundUnderContinuousUrgentLoad(
            @ForAll @IntRange(min = 1, max = 20_000) int longTokens,
            @ForAll @IntRange(min = 400, max = 4_000) int urgentTokens) {
        // The tries of a property share one test object, but each needs its own clock and outcomes.
        new QueueingAdmissionControllerTest().assertLongReadBound(longTokens, urgentTokens);
    }

    private void assertLongReadBound(int longTokens, int urgentTokens) {
        QueueingAdmissionController admission = createAdmission(Limits.NONE);
        targetWaitMillis = 700;
        admission.admit(request("long", WorkClass.LONG_READ, 90_000_000, longTokens), recordOutcome("long"));
        double floorRatio = AdmissionPolicy.STANDARD.longReadFloorRatio();
        double maxOtherTokens = longTokens * (1 - floorRatio) / floorRatio + urgentTokens;
        long startedTokens = 0;
        while (!outcomes.contains("long")) {
            admission.admit(request("u", WorkClass.URGENT, 90_000_000, urgentTokens), recordOutcome("u"));
            admission.admit(request("u", WorkClass.URGENT, 90_000_000, urgentTokens), recordOutcome("u"));
            targetWaitMillis = 0;
            targetBusyAfterStart = true;
            time.advanceMillis(20);
            startedTokens = outcomes.stream().filter("u"::equals).count() * urgentTokens;
            assertTrue(
                    startedTokens <= maxOtherTokens, "started " + startedTokens + " tokens, bound " + maxOtherTokens);
        }
    }

    @Test
    void concurrencyLimitHoldsAndAReleasedPermitStartsTheNextWaitingRequest() {
        QueueingAdmissionController admission = createAdmission(MAX_TWO_CONCURRENT);
        for (int i = 0; i < 4; i++) {
            admission.admit(request("r" + i, WorkClass.URGENT, 9_000, 10), recordOutcome("r" + i));
        }
        assertEquals(List.of("r0", "r1"), outcomes);
        permits.get(0).release(10);
        permits.get(0).release(10);
        time.advanceMillis(40);
        assertEquals(List.of("r0", "r1", "r2"), outcomes);
        time.advanceMillis(AdmissionPolicy.STANDARD.maxLimitWaitMillis());
        assertEquals(RefusalReason.CONCURRENCY_LIMIT, refusals.get(0).reason());
    }

    @Test
    void tokenRateCountsTheEstimateAndIsCorrectedByActualUsage() {
        QueueingAdmissionController admission = createAdmission(HUNDRED_TOKENS_PER_SECOND);
        admission.admit(request("first", WorkClass.URGENT, 9_000, 200), recordOutcome("first"));
        admission.admit(request("second", WorkClass.URGENT, 9_000, 100), recordOutcome("second"));
        assertEquals(List.of("first"), outcomes);
        permits.get(0).release(50);
        time.advanceMillis(20);
        assertEquals(List.of("first", "second"), outcomes);
        permits.get(1).release(1_000);
        admission.admit(request("third", WorkClass.URGENT, 90_000, 10), recordOutcome("third"));
        time.advanceMillis(2_000);
        assertEquals(RefusalReason.TOKEN_RATE_LIMIT, refusals.get(0).reason());
    }

    @Test
    void fullQueueRefusesAtOnce() {
        QueueingAdmissionController admission = createAdmission(Limits.NONE);
        targetWaitMillis = 700;
        for (int i = 0; i <= AdmissionPolicy.STANDARD.longReadQueueCapacity(); i++) {
            admission.admit(request("l", WorkClass.LONG_READ, 900_000, 1), recordOutcome("l"));
        }
        assertEquals(RefusalReason.QUEUE_FULL, refusals.get(0).reason());
    }

    @Test
    void withoutTargetsUrgentRequestsAreRefusedAndLongReadsWait() {
        QueueingAdmissionController admission = createAdmission(Limits.NONE);
        targetAvailable = false;
        admission.admit(request("u", WorkClass.URGENT, 9_000, 10), recordOutcome("u"));
        admission.admit(request("l", WorkClass.LONG_READ, 900_000, 10), recordOutcome("l"));
        assertEquals(RefusalReason.NO_TARGET, refusals.get(0).reason());
        targetAvailable = true;
        time.advanceMillis(20);
        assertEquals(List.of("u refused", "l"), outcomes);
    }

    @Test
    void cancelledRequestReleasesItsPermitAndReceivesNoDecision() {
        QueueingAdmissionController admission = createAdmission(MAX_TWO_CONCURRENT);
        targetWaitMillis = 700;
        admission
                .admit(request("a", WorkClass.URGENT, 9_000, 10), recordOutcome("a"))
                .cancel();
        admission.admit(request("b", WorkClass.URGENT, 9_000, 10), recordOutcome("b"));
        admission.admit(request("c", WorkClass.URGENT, 9_000, 10), recordOutcome("c"));
        targetWaitMillis = 0;
        time.advanceMillis(40);
        assertEquals(List.of("b", "c"), outcomes);
        assertEquals(0, admission.waitingRequestCount());
    }

    private boolean targetBusyAfterStart;

    private Consumer<AdmissionDecision> recordOutcome(String name) {
        return decision -> decision.match(
                permit -> {
                    if (targetBusyAfterStart) {
                        targetWaitMillis = 700;
                    }
                    permits.add(permit);
                    return outcomes.add(name);
                },
                refusal -> {
                    refusals.add(refusal);
                    return outcomes.add(name + " refused");
                });
    }

    private QueueingAdmissionController createAdmission(Limits limits) {
        outcomes.clear();
        Catalogue catalogue = catalogue(limits);
        CatalogueView view = new CatalogueView() {
            @Override
            public Optional<Catalogue> current() {
                return Optional.of(catalogue);
            }

            @Override
            public void addListener(Consumer<Catalogue> _listener) {}
        };
        PeerBus boardWithoutPeers = new PeerBus() {
            @Override
            public void publish(PeerTopic _topic, String _key, Bytes _payload, long _keepMillis) {}

            @Override
            public void subscribe(PeerTopic _topic, Consumer<PeerUpdate> _listener) {}
        };
        return new QueueingAdmissionController(
                AdmissionPolicy.STANDARD,
                view,
                new LimitShareExchange(LimitShareSettings.SINGLE_INSTANCE, boardWithoutPeers, time, 1),
                _group -> targetAvailable
                        ? Optional.of(new GroupCapacity(4, targetWaitMillis, 8, 20, 1, 1))
                        : Optional.empty(),
                () -> 1,
                time);
    }

    private static Catalogue catalogue(Limits limits) {
        TreeMap<String, Owner> owners = new TreeMap<>();
        owners.put("chain", new Owner("chain", List.of(), limits));
        return new Catalogue(1, owners, new TreeMap<>(), new TreeMap<>());
    }

    private CallerRequest request(String id, WorkClass workClass, long deadlineMillis, long promptTokens) {
        CatalogueEntry entry =
                new CatalogueEntry("slots", "chain", workClass, "booking", true, deadlineMillis, Limits.NONE);
        long nowMillis = time.monotonicMillis();
        return new CallerRequest(
                id,
                entry,
                new Operation.Generate("prompt", promptTokens, 0),
                Optional.empty(),
                1,
                nowMillis,
                nowMillis + deadlineMillis);
    }
}
