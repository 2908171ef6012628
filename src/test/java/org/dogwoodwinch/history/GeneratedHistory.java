package org.dogwoodwinch.history;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.catalogue.WorkClass;
import org.dogwoodwinch.fault.Fault;
import org.dogwoodwinch.fault.FaultKind;
import org.dogwoodwinch.request.RefusalReason;
import org.dogwoodwinch.request.RunState;

/** Writes the history of a run in which everything held, different for each seed, with each property at stake. */
final class GeneratedHistory {

    static final String STOPPED = "n3";
    static final String LEAVING = "e2";
    static final long STOP_MILLIS = 20_000;
    static final long LEAVING_MILLIS = 25_000;
    static final long KILL_MILLIS = 32_000;
    static final long END_MILLIS = 60_000;
    private static final List<WorkClass> CLASSES = List.of(WorkClass.values());
    private static final int CALLS = 60;

    private final UniformRandomProvider random;
    private final List<HistoryEvent> events = new ArrayList<>();

    private GeneratedHistory(long seed) {
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    static History of(long seed) {
        GeneratedHistory run = new GeneratedHistory(seed);
        run.fleet();
        run.orders();
        run.edits();
        for (int i = 0; i < CALLS; i++) {
            run.call(i);
        }
        run.callAtStop();
        run.callAtKill();
        run.urgentCallAtPlannedChange();
        return new History(run.events);
    }

    private void fleet() {
        for (String instance : List.of("n1", "n2", STOPPED)) {
            add(new FleetEvent.InstanceStarted(0, instance));
        }
        add(new FleetEvent.PlannedStop(STOP_MILLIS, STOPPED));
        add(new FleetEvent.InstanceEnded(STOP_MILLIS + 3_000, STOPPED));
        add(new FleetEvent.TargetLeaving(LEAVING_MILLIS, LEAVING));
        add(new FleetEvent.TargetBack(LEAVING_MILLIS + 15_000, LEAVING));
        Fault kill = new Fault(FaultKind.KILL, "n2", KILL_MILLIS, 2_000);
        add(new FleetEvent.FaultBegan(KILL_MILLIS, kill));
        add(new FleetEvent.FaultEnded(KILL_MILLIS + 2_000, kill));
        add(new FleetEvent.InstanceStarted(KILL_MILLIS + 2_000, "n2"));
        add(new FleetEvent.InstanceEnded(END_MILLIS, "n1"));
    }

    private void orders() {
        long token = 10;
        for (int holder = 1; holder <= 2; holder++) {
            long atMillis = holder * 10_000L;
            long lease = token++;
            add(new OrderEvent.AuthorityTaken(atMillis, "n" + holder, "g", lease));
            int count = 2 + random.nextInt(3);
            for (int i = 0; i < count; i++) {
                atMillis += 100 + random.nextInt(500);
                order(atMillis, "n" + holder, lease, token++, "e" + (i % 2 == 0 ? 1 : 2));
            }
        }
    }

    private void order(long atMillis, String holder, long lease, long token, String engine) {
        String id = "o" + token;
        String wanted = "role-" + random.nextInt(3);
        add(new OrderEvent.Intended(atMillis, holder, "g", engine, id, lease, token, wanted));
        add(new OrderEvent.Sent(atMillis + 10, holder, engine, id, token));
        add(new OrderEvent.Applied(atMillis + 11, engine, id, token, wanted));
        if (random.nextInt(3) == 0) {
            add(new OrderEvent.Fenced(atMillis + 12, engine, "o" + (token - 1), token - 1));
        }
    }

    private void edits() {
        long base = -1;
        for (int i = 1; i <= 4; i++) {
            long atMillis = i * 9_000L + random.nextInt(1_000);
            long revision = 100L + i;
            add(new CatalogueEvent.Edited(atMillis, "edit" + i, base, revision));
            for (String instance : List.of("n1", "n2", STOPPED)) {
                long delayMillis = random.nextInt(500);
                if (!instance.equals(STOPPED) || atMillis < STOP_MILLIS - 1_000) {
                    add(new CatalogueEvent.InForce(atMillis + delayMillis, instance, revision, "content" + revision));
                }
            }
            base = revision;
        }
        add(new CatalogueEvent.InForce(KILL_MILLIS + 1_999, "n2", 103, "content103"));
    }

    private void call(int number) {
        long atMillis = random.nextInt(50_000);
        String instance = "n1";
        WorkClass workClass = CLASSES.get(random.nextInt(CLASSES.size()));
        String request = "r" + number;
        RequestEvent.Invoked call = new RequestEvent.Invoked(
                atMillis, "c" + number, request, instance, workClass, number % 3 != 0, "answer " + request);
        add(call);
        long endMillis = atMillis + 20 + random.nextInt(2_000);
        switch (random.nextInt(4)) {
            case 0 ->
                add(new RequestEvent.Refused(endMillis, call.callId(), RefusalReason.QUEUE_FULL, RunState.NOT_RUN));
            case 1 -> {
                run(atMillis + 10, "e1", request);
                add(new RequestEvent.Refused(
                        endMillis, call.callId(), RefusalReason.TARGET_FAILED, RunState.MAY_HAVE_RUN));
                resend(call, endMillis + 5);
            }
            default -> {
                run(atMillis + 10, random.nextBoolean() && maySendToLeaving(atMillis) ? LEAVING : "e1", request);
                add(new RequestEvent.Answered(endMillis, call.callId(), call.expectedAnswer()));
            }
        }
    }

    /** A resend is told "not run" of itself, though the first call of the same request did run. */
    private void resend(RequestEvent.Invoked first, long atMillis) {
        RequestEvent.Invoked again = new RequestEvent.Invoked(
                atMillis,
                first.callId() + "b",
                first.requestId(),
                "n1",
                first.workClass(),
                first.repeatable(),
                first.expectedAnswer());
        add(again);
        add(new RequestEvent.Refused(atMillis + 5, again.callId(), RefusalReason.CONCURRENCY_LIMIT, RunState.NOT_RUN));
    }

    private void callAtStop() {
        add(new RequestEvent.Invoked(
                STOP_MILLIS - 100, "stop", "rstop", STOPPED, WorkClass.LONG_READ, true, "answer rstop"));
        run(STOP_MILLIS - 50, "e1", "rstop");
        add(new RequestEvent.Answered(STOP_MILLIS + 900, "stop", "answer rstop"));
    }

    private void callAtKill() {
        add(new RequestEvent.Invoked(KILL_MILLIS - 100, "kill", "rkill", "n2", WorkClass.STANDARD, true, "whole"));
        run(KILL_MILLIS - 50, "e1", "rkill");
        add(new RequestEvent.Lost(KILL_MILLIS + 1, "kill", true, "reset"));
    }

    /** The order cut the attempt, and the request was run again and answered: nothing is cut for its caller. */
    private void urgentCallAtPlannedChange() {
        add(new RequestEvent.Invoked(5_000, "plan", "rplan", "n1", WorkClass.URGENT, true, "answer rplan"));
        run(5_010, "e1", "rplan");
        add(new AttemptEvent.Cut(5_020, "e1", "rplan@e1", AttemptEvent.Cause.PLANNED_CHANGE));
        run(5_030, "e3", "rplan");
        add(new RequestEvent.Answered(5_300, "plan", "answer rplan"));
    }

    private void run(long atMillis, String target, String request) {
        add(new AttemptEvent.Executed(atMillis, target, request + "@" + target, request));
    }

    private static boolean maySendToLeaving(long atMillis) {
        return atMillis < LEAVING_MILLIS + 3_000 || atMillis > LEAVING_MILLIS + 15_000;
    }

    private void add(HistoryEvent event) {
        events.add(event);
    }
}
