package org.dogwoodwinch.faultrun;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.authority.PlannedChange;
import org.dogwoodwinch.catalogue.CatalogueEntry;
import org.dogwoodwinch.fault.Fault;
import org.dogwoodwinch.fault.FaultInjector;
import org.dogwoodwinch.fault.FaultPlayer;
import org.dogwoodwinch.fault.FaultSchedule;
import org.dogwoodwinch.fault.FaultSubjects;
import org.dogwoodwinch.history.FleetEvent;
import org.dogwoodwinch.history.MemoryRecorder;
import org.dogwoodwinch.history.RequestEvent;
import org.dogwoodwinch.request.CallerRequest;
import org.dogwoodwinch.request.Operation;
import org.dogwoodwinch.standin.HistoryEngineObserver;
import org.dogwoodwinch.standin.MemoryLog;
import org.dogwoodwinch.standin.MemoryLogLimits;
import org.dogwoodwinch.standin.StandInEngine;
import org.dogwoodwinch.standin.StandInEngineOptions;
import org.dogwoodwinch.standin.StandInText;
import org.dogwoodwinch.target.EngineConfiguration;
import org.dogwoodwinch.target.EngineRole;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.time.VirtualTimeSource;

/** Three instances, their log and five engines in one process on virtual time; a run of a seed repeats exactly. */
final class VirtualRun implements FaultInjector {

    static final FaultSubjects SUBJECTS = new FaultSubjects(
            List.of("entry-0", "entry-1", "entry-2"),
            List.of("booking-0", "booking-1", "booking-2", "reading-0", "reading-1"));
    private static final List<String> ENTRIES = List.of("slot", "playlist", "notes", "billed-check");
    private static final long REQUEST_EVERY_MILLIS = 60;
    private static final long RESEND_MILLIS = 900;

    final VirtualTimeSource time = new VirtualTimeSource(1_700_000_000_000L);
    final MemoryLog log = new MemoryLog(time, MemoryLogLimits.STANDARD);
    final MemoryRecorder history = new MemoryRecorder();
    final UniformRandomProvider random;
    private final Map<String, StandInEngine> engines = new LinkedHashMap<>();
    private final Map<String, Target> targets = new TreeMap<>();
    private final List<VirtualInstance> instances = new ArrayList<>();
    private final RunOperator operator;
    private int lives;
    private int requests;
    private int calls;
    private boolean sending = true;

    VirtualRun(long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        HistoryEngineObserver observer = new HistoryEngineObserver(time, history);
        SUBJECTS.engines().forEach(name -> addEngine(name, observer));
        LogWitness witness = new LogWitness(log, time, history);
        witness.start();
        operator = new RunOperator(log, witness, time);
        operator.publishCatalogue();
        for (int i = 0; i < SUBJECTS.instances().size(); i++) {
            instances.add(newInstance(i));
        }
        time.advanceMillis(2_000);
    }

    /** Plays a schedule over ten seconds of requests, edits and planned changes, then lets everything end. */
    void play(FaultSchedule schedule) {
        new FaultPlayer(
                        time,
                        this,
                        fault -> history.record(new FleetEvent.FaultBegan(time.wallMillis(), fault)),
                        fault -> history.record(new FleetEvent.FaultEnded(time.wallMillis(), fault)))
                .play(schedule);
        tick();
        time.schedule(1_000, operator::edit);
        time.schedule(
                1_500,
                () -> operator.plan(PlannedChange.changeRole("booking-0", EngineRole.PREFILL)
                        .withGroup("booking@kakkanad")));
        time.schedule(4_000, operator::edit);
        time.schedule(
                5_000,
                () -> operator.plan(
                        PlannedChange.changeRole("reading-0", EngineRole.DECODE).withGroup("reading@kakkanad")));
        time.advanceMillis(10_000);
        sending = false;
        time.advanceMillis(70_000);
    }

    List<Target> targets() {
        return List.copyOf(targets.values());
    }

    Target target(String name) {
        return targets.get(name);
    }

    StandInEngine engine(String name) {
        return engines.get(name);
    }

    boolean isAlive(String writer) {
        return instances.stream()
                .anyMatch(each -> each.isAlive() && each.writer().equals(writer));
    }

    @Override
    public void begin(Fault fault) {
        switch (fault.kind()) {
            case KILL -> living(fault).ifPresent(VirtualInstance::kill);
            case PLANNED_STOP ->
                living(fault).ifPresent(instance -> {
                    history.record(new FleetEvent.PlannedStop(time.wallMillis(), instance.name()));
                    instance.stop();
                });
            case LOG_OUTAGE -> log.setMode(MemoryLog.Mode.SILENT);
            case LOG_SLOW -> log.setAnswerMillis(400);
            case LOG_ANSWER_LOST -> log.loseAnswers(20);
            case RACING_OPERATORS -> operator.race();
            case ENGINE_CRASH -> engine(fault.subject()).crash();
            default -> throw new IllegalArgumentException("not brought about here: " + fault);
        }
    }

    @Override
    public void end(Fault fault) {
        switch (fault.kind()) {
            case KILL, PLANNED_STOP -> restart(SUBJECTS.instances().indexOf(fault.subject()));
            case LOG_OUTAGE -> log.setMode(MemoryLog.Mode.UP);
            case LOG_SLOW -> log.setAnswerMillis(1);
            default -> {
                // Over by itself.
            }
        }
    }

    private Optional<VirtualInstance> living(Fault fault) {
        return instances.stream()
                .filter(instance -> instance.name().equals(fault.subject()) && instance.isAlive())
                .findFirst();
    }

    /** One that has not finished its stop is started when it has. */
    private void restart(int number) {
        if (instances.get(number).isAlive() && instances.get(number).takesCalls()) {
            return;
        }
        if (instances.get(number).isAlive()) {
            time.schedule(100, () -> restart(number));
        } else {
            instances.set(number, newInstance(number));
        }
    }

    private VirtualInstance newInstance(int number) {
        return new VirtualInstance(this, SUBJECTS.instances().get(number), number, lives++);
    }

    private void addEngine(String name, HistoryEngineObserver observer) {
        String group = name.substring(0, name.indexOf('-'));
        EngineConfiguration first =
                new EngineConfiguration(EngineRole.MIXED, RunOperator.model(group), "1", new TreeSet<>());
        engines.put(name, new StandInEngine(name, name, first, StandInEngineOptions.STANDARD, time, observer));
        targets.put(name, new Target(name, "127.0.0.1", 9_000, "kakkanad", group));
    }

    private void tick() {
        if (sending) {
            String request = "r" + requests++;
            String entry = ENTRIES.get(random.nextInt(ENTRIES.size()));
            call(request, entry);
            if (entry.equals("billed-check") && random.nextInt(3) == 0) {
                time.schedule(random.nextInt((int) RESEND_MILLIS), () -> call(request, entry));
            }
            time.schedule(REQUEST_EVERY_MILLIS, this::tick);
        }
    }

    /** Each call goes to any instance that takes calls; a resend mostly reaches another one than the first call. */
    private void call(String requestId, String entryName) {
        List<VirtualInstance> ready =
                instances.stream().filter(VirtualInstance::takesCalls).toList();
        if (ready.isEmpty()) {
            return;
        }
        VirtualInstance instance = ready.get(random.nextInt(ready.size()));
        CatalogueEntry entry =
                instance.catalogue().orElseThrow().entry(entryName).orElseThrow();
        String prompt = "Please answer. [request=" + requestId + "]";
        VirtualCall call = new VirtualCall(this, instance, "c" + calls++);
        history.record(new RequestEvent.Invoked(
                time.wallMillis(),
                call.id(),
                requestId,
                instance.name(),
                entry.workClass(),
                entry.repeatable(),
                StandInText.answer(prompt, 64)));
        Optional<String> key = entry.repeatable() ? Optional.empty() : Optional.of(requestId);
        long nowMillis = time.monotonicMillis();
        instance.submit(
                new CallerRequest(
                        call.id(),
                        entry,
                        new Operation.Generate(prompt, 16, 64),
                        key,
                        requestId.hashCode(),
                        nowMillis,
                        nowMillis + entry.deadlineMillis()),
                call);
    }
}
