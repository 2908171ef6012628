package org.dogwoodwinch.forwarding;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Chooses among model engines by the expected time to the first event: what waits there, what of the prompt is not kept
 * there, and the way of its memory where one engine reads and another generates.
 *
 * <p>The home of a prompt's last shared part is the engine that ranks first for it on all instances alike. Where nobody
 * keeps the part yet, two instances would read it at two engines; the price of reading it elsewhere than at its home
 * keeps them together.
 */
public final class EngineChooser implements TargetChooser {

    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MILLI_OF_MEGABIT = 1_000;

    /** Memory takes twice as long between data centres, as the platform states. */
    private static final double ABROAD_RATIO = 2;

    /** A pause holds the steps of an event's own tokens beside the reading; they take about half of it. */
    private static final double PAUSE_PART = 2;

    private final TargetDirectory directory;
    private final LoadBook loads;
    private final PartIndex parts;
    private final ReadRates rates;
    private final EngineChoicePolicy policy;
    private final TargetChooser plain;
    private final String dataCentre;

    /**
     * Creates a chooser.
     *
     * @param directory the targets, not null
     * @param loads what is under way at them, not null
     * @param parts which parts they keep, not null
     * @param rates how fast they read, not null
     * @param policy the prices, not null
     * @param plain chooses where a call names no prompt, not null
     * @param dataCentre where this instance stands, not null
     */
    public EngineChooser(
            TargetDirectory directory,
            LoadBook loads,
            PartIndex parts,
            ReadRates rates,
            EngineChoicePolicy policy,
            TargetChooser plain,
            String dataCentre) {
        this.directory = Objects.requireNonNull(directory, "directory");
        this.loads = Objects.requireNonNull(loads, "loads");
        this.parts = Objects.requireNonNull(parts, "parts");
        this.rates = Objects.requireNonNull(rates, "rates");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.plain = Objects.requireNonNull(plain, "plain");
        this.dataCentre = Objects.requireNonNull(dataCentre, "dataCentre");
    }

    @Override
    public Optional<Plan> choose(ChoiceQuery query) {
        if (query.prompt().isEmpty() || query.service().engine().isEmpty()) {
            return plain.choose(query);
        }
        Prompt prompt = query.prompt().get();
        List<Incarnation> ready = directory.ready(query.service().name());
        int[] kept = keptTokens(ready, prompt);
        Optional<Kept> most = mostKept(ready, kept);
        String home = home(atEase(ready), homeKey(prompt));
        Candidate best = null;
        for (int i = 0; i < kept.length; i++) {
            Incarnation engine = ready.get(i);
            boolean readsOnly = engine.stage() == Stage.PREFILL && !query.readApart();
            if (readsOnly || !mayGet(engine, query)) {
                continue;
            }
            Candidate candidate =
                    candidate(engine, kept[i], query, prompt, most, engine.id().equals(home));
            if (best == null || candidate.cost < best.cost) {
                best = candidate;
            }
        }
        return best == null ? Optional.empty() : plan(query, best);
    }

    private Optional<Plan> plan(ChoiceQuery query, Candidate best) {
        // By the wait alone: a long prompt must not be read last because of its own length.
        int level = waitMillis(best.engine, query) > query.objectiveMillis()
                ? QueueLevel.late(query.urgency())
                : QueueLevel.inTime(query.urgency());
        Plan.Reading reading = new Plan.Reading(level, best.unreadTokens, best.keeper);
        if (best.engine.stage() != Stage.PREFILL) {
            return Optional.of(new Plan(best.engine, Optional.empty(), reading));
        }
        Optional<Incarnation> reader = Optional.of(best.engine);
        return chooseRunner(query, best.engine).map(runner -> new Plan(runner, reader, reading));
    }

    /**
     * Chooses the engine that generates after another has read the prompt.
     *
     * @param query the call, not null
     * @param reader the engine that reads, not null
     * @return the engine with the least under way, one near the reader first
     */
    @Override
    public Optional<Incarnation> chooseRunner(ChoiceQuery query, Incarnation reader) {
        Incarnation best = null;
        double least = Double.MAX_VALUE;
        for (Incarnation engine : directory.ready(query.service().name())) {
            if (engine.stage() == Stage.PREFILL || !mayGet(engine, query)) {
                continue;
            }
            double cost = waitMillis(engine, query) + loads.at(engine.id()).callsCount() * policy.runningCallMillis();
            if (!engine.dataCentre().equals(reader.dataCentre())) {
                cost += policy.borderMillis();
            }
            if (!engine.dataCentre().equals(dataCentre)) {
                cost += policy.borderMillis();
            }
            if (cost < least) {
                least = cost;
                best = engine;
            }
        }
        return Optional.ofNullable(best);
    }

    private boolean mayGet(Incarnation engine, ChoiceQuery query) {
        return !query.triedIds().contains(engine.id()) && directory.hasRoom(engine);
    }

    /** The home of a part moves from an engine that names a limit, on all instances alike, whoever has a share of it. */
    private List<Incarnation> atEase(List<Incarnation> ready) {
        List<Incarnation> atEase =
                ready.stream().filter(engine -> !directory.isLimited(engine)).toList();
        return atEase.isEmpty() ? ready : atEase;
    }

    @Override
    public boolean serves(Incarnation target) {
        return directory.serves(target);
    }

    @Override
    public long roomMillis(ChoiceQuery query) {
        return directory.roomMillis(query.service().name(), query.triedIds());
    }

    private Candidate candidate(
            Incarnation engine, int kept, ChoiceQuery query, Prompt prompt, Optional<Kept> most, boolean home) {
        int reached = kept;
        double fetchMillis = 0;
        Optional<Incarnation> keeper = Optional.empty();
        if (most.isPresent() && most.get().tokens > kept) {
            double way = fetchMillis(engine, most.get(), query, kept);
            if (way < (most.get().tokens - kept) / rate(engine)) {
                reached = most.get().tokens;
                fetchMillis = way;
                keeper = Optional.of(most.get().engine);
            }
        }
        int unread = prompt.inputTokens() - reached;
        double expected =
                waitMillis(engine, query) + unread / rate(engine) + fetchMillis + handOverMillis(engine, query, prompt);
        double border = engine.dataCentre().equals(dataCentre) ? 0 : policy.borderMillis();
        double price = holdUpMillis(unread / rate(engine))
                + stallMillis(engine, query, unread / rate(engine))
                + (home ? 0 : awayMillis(engine, prompt, unread));
        return new Candidate(engine, unread, keeper, expected + border + price);
    }

    /** What it costs the others: those that arrive while the prompt is read wait half of that time on average. */
    private double holdUpMillis(double readMillis) {
        return readMillis * readMillis / (2 * policy.arrivalGapMillis());
    }

    /**
     * What it costs the streams that an engine generates.
     *
     * <p>Failure: an engine that generates reads a prompt in pieces between its tokens, and an event holds several tokens.
     * One long prompt stretches the next event of every stream there beyond the pause that its callers accept: all of them
     * are late, though their first events came in time.
     */
    private double stallMillis(Incarnation engine, ChoiceQuery query, double readMillis) {
        boolean noticed = query.pauseMillis() > 0 && readMillis * PAUSE_PART > query.pauseMillis();
        if (engine.stage() == Stage.PREFILL || !noticed) {
            return 0;
        }
        return policy.stallMillis() * (1 + loads.at(engine.id()).callsCount());
    }

    /** What it costs the others that shared tokens are read in a second place. */
    private double awayMillis(Incarnation engine, Prompt prompt, int unread) {
        int own = prompt.parts().isEmpty()
                ? unread
                : prompt.parts().get(prompt.parts().size() - 1).tokens();
        return Math.max(0, unread - own) * policy.awayFromHomeRatio() / rate(engine);
    }

    private int[] keptTokens(List<Incarnation> ready, Prompt prompt) {
        return ready.stream()
                .mapToInt(engine -> parts.keptTokens(engine.id(), prompt))
                .toArray();
    }

    private static Optional<Kept> mostKept(List<Incarnation> ready, int[] kept) {
        Incarnation keeper = null;
        int most = 0;
        for (int i = 0; i < kept.length; i++) {
            if (kept[i] > most) {
                most = kept[i];
                keeper = ready.get(i);
            }
        }
        return keeper == null ? Optional.empty() : Optional.of(new Kept(keeper, most));
    }

    private double fetchMillis(Incarnation engine, Kept from, ChoiceQuery query, int kept) {
        double way = transferMillis(query, from.tokens - kept);
        boolean abroad = !engine.dataCentre().equals(from.engine.dataCentre());
        return policy.fetchMillis() + (abroad ? ABROAD_RATIO * way : way);
    }

    private double waitMillis(Incarnation engine, ChoiceQuery query) {
        return loads.at(engine.id()).unread().aheadOf(QueueLevel.inTime(query.urgency())) / rate(engine);
    }

    private double rate(Incarnation engine) {
        return rates.tokensPerMilli(engine.service(), engine.stage());
    }

    private double handOverMillis(Incarnation engine, ChoiceQuery query, Prompt prompt) {
        if (engine.stage() != Stage.PREFILL) {
            return loads.at(engine.id()).callsCount() * policy.runningCallMillis();
        }
        return policy.handOverMillis() + transferMillis(query, prompt.inputTokens());
    }

    private static double transferMillis(ChoiceQuery query, int tokens) {
        EngineTraits traits = query.service().engine().orElseThrow();
        double bits = tokens * (double) traits.kvTokenBytes() * BITS_PER_BYTE;
        return bits / Math.max(1, traits.linkMbitPerSecond() * BITS_PER_MILLI_OF_MEGABIT);
    }

    /** The last part that other requests share, or the only one. */
    private static String homeKey(Prompt prompt) {
        int count = prompt.parts().size();
        if (count == 0) {
            return "";
        }
        return prompt.parts().get(Math.max(0, count - 2)).id();
    }

    /** Engines that only read are homes before those that a long prompt would keep from generating. */
    private static String home(List<Incarnation> ready, String key) {
        String home = "";
        double highest = -1;
        boolean readers = ready.stream().anyMatch(engine -> engine.stage() == Stage.PREFILL);
        for (Incarnation engine : ready) {
            if (readers && engine.stage() != Stage.PREFILL) {
                continue;
            }
            double score = Rendezvous.score(key, engine.id());
            if (score > highest) {
                highest = score;
                home = engine.id();
            }
        }
        return home;
    }

    private record Kept(Incarnation engine, int tokens) {}

    private record Candidate(Incarnation engine, int unreadTokens, Optional<Incarnation> keeper, double cost) {}
}
