package org.dogwoodwinch.measure.requests;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.catalogue.CatalogueEntry;
import org.dogwoodwinch.peer.GossipExchange;
import org.dogwoodwinch.peer.SuspicionExchange;
import org.dogwoodwinch.request.Quarantine;
import org.dogwoodwinch.request.RefusalReason;
import org.dogwoodwinch.request.RequestCoordinator;
import org.dogwoodwinch.request.RequestObserver;
import org.dogwoodwinch.request.RequestPolicies;
import org.dogwoodwinch.request.RequestSettings;
import org.dogwoodwinch.request.SuspectRegistry;
import org.dogwoodwinch.request.UnavailableClaimStore;
import org.dogwoodwinch.time.VirtualTimeSource;

/** One request that crashes engines, sent again and again through all instances, among innocent ones. */
final class PoisonTrial {

    /** What one trial found. */
    record Found(int crashes, int innocents, int innocentsAnswered, int falseQuarantines, boolean missed) {}

    private static final int INSTANCES = 6;
    private static final int ENGINES = 11;
    private static final int SENDS = 50;
    private static final int INNOCENTS_PER_SEND = 30;
    private static final long BETWEEN_MILLIS = 2_000;
    private static final String POISON = "poison [crash]";

    private PoisonTrial() {}

    static Found run(boolean guarded, long seed) {
        VirtualTimeSource time = new VirtualTimeSource(1_000_000);
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        TrialFleet fleet = new TrialFleet(ENGINES, time, random);
        TrialPeers peers = new TrialPeers(INSTANCES, time, seed);
        List<RequestCoordinator> instances = new ArrayList<>();
        for (int i = 0; i < INSTANCES; i++) {
            SuspectRegistry book = book(time, peers.exchanges().get(i));
            instances.add(coordinator(fleet, time, guarded ? book : Quarantine.NONE, seed + i));
        }
        time.advanceMillis(5_000);
        TrialSink poison = new TrialSink();
        TrialSink innocent = new TrialSink();
        for (int send = 0; send < SENDS; send++) {
            for (int i = 0; i < INNOCENTS_PER_SEND; i++) {
                String prompt = "innocent " + send + "-" + i + " [tokens=40]";
                instances
                        .get(random.nextInt(INSTANCES))
                        .submit(TrialRequests.generate(prompt, time.monotonicMillis()), innocent);
                time.advanceMillis(BETWEEN_MILLIS / INNOCENTS_PER_SEND / 2);
            }
            instances.get(send % INSTANCES).submit(TrialRequests.generate(POISON, time.monotonicMillis()), poison);
            time.advanceMillis(BETWEEN_MILLIS / 2);
        }
        time.advanceMillis(TrialRequests.DEADLINE_MILLIS);
        boolean missed = guarded && poison.refusals(RefusalReason.QUARANTINED) == 0;
        return new Found(
                fleet.crashes(),
                SENDS * INNOCENTS_PER_SEND,
                innocent.answers(),
                innocent.refusals(RefusalReason.QUARANTINED),
                missed);
    }

    private static SuspectRegistry book(VirtualTimeSource time, GossipExchange exchange) {
        RequestSettings settings = RequestSettings.DEFAULT;
        SuspicionExchange suspicions = new SuspicionExchange(exchange);
        SuspectRegistry book =
                new SuspectRegistry(time, settings.suspicionMillis(), settings.quarantineMillis(), suspicions);
        suspicions.subscribe(book);
        return book;
    }

    private static RequestCoordinator coordinator(
            TrialFleet fleet, VirtualTimeSource time, Quarantine quarantine, long seed) {
        return new RequestCoordinator(
                TrialRequests.OPEN,
                fleet,
                fleet,
                fleet::find,
                CatalogueEntry::group,
                time,
                RandomSource.XO_RO_SHI_RO_128_PP.create(seed),
                new UnavailableClaimStore(),
                quarantine,
                RequestObserver.NONE,
                RequestSettings.DEFAULT,
                RequestPolicies.STANDARD);
    }
}
