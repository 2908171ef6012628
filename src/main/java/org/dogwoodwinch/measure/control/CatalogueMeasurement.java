package org.dogwoodwinch.measure.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.dogwoodwinch.catalogue.Catalogue;
import org.dogwoodwinch.catalogue.CatalogueChange;
import org.dogwoodwinch.catalogue.CatalogueCodec;
import org.dogwoodwinch.catalogue.CatalogueEdit;
import org.dogwoodwinch.catalogue.CatalogueEntry;
import org.dogwoodwinch.catalogue.Limits;
import org.dogwoodwinch.catalogue.Owner;
import org.dogwoodwinch.catalogue.TargetGroup;
import org.dogwoodwinch.catalogue.WorkClass;
import org.dogwoodwinch.cli.OperatorReply;
import org.dogwoodwinch.control.ApplyAnswer;
import org.dogwoodwinch.control.Checkpoint;
import org.dogwoodwinch.control.ControlCodec;
import org.dogwoodwinch.control.ControlSnapshot;
import org.dogwoodwinch.control.ControlStateMachine;
import org.dogwoodwinch.control.EditRequest;
import org.dogwoodwinch.external.LogRecord;
import org.dogwoodwinch.measure.Measurement;
import org.dogwoodwinch.measure.MeasurementBound;
import org.dogwoodwinch.measure.MeasurementReport;
import org.dogwoodwinch.measure.MeasurementTable;

/** Measures how long an accepted edit takes to be in force on the last of six real daemon processes. */
public final class CatalogueMeasurement implements Measurement {

    private static final int DAEMONS = 6;
    private static final int EDITS = 200;
    private static final int QUICK_EDITS = 60;
    private static final long READY_MILLIS = 40_000;
    private static final long IN_FORCE_MILLIS = 11_000;
    private static final long REST_MILLIS = 20_000;
    private static final long QUICK_REST_MILLIS = 6_000;

    private final ObjectMapper mapper = new ObjectMapper();

    @Override
    public String name() {
        return "catalogue";
    }

    @Override
    public String description() {
        return "time from an edit to in force on the last of 6 daemon processes, one killed and restarted meanwhile";
    }

    @Override
    public MeasurementReport run(boolean quick) {
        DaemonFleet fleet = startFleet();
        try {
            return measure(fleet, quick ? QUICK_EDITS : EDITS, quick ? QUICK_REST_MILLIS : REST_MILLIS);
        } finally {
            fleet.close();
        }
    }

    private static DaemonFleet startFleet() {
        try {
            return new DaemonFleet(DAEMONS);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private MeasurementReport measure(DaemonFleet fleet, int edits, long restMillis) {
        List<InForceWatch> watches = IntStream.range(0, fleet.size())
                .mapToObj(i -> new InForceWatch(fleet.client(i)))
                .toList();
        watches.forEach(CatalogueMeasurement::startThread);
        waitUntil(READY_MILLIS, () -> watches.stream().allMatch(InForceWatch::isAnswering));
        EditRun run = new EditRun(fleet, watches);
        run.all(edits);
        boolean allReached =
                waitUntil(READY_MILLIS, () -> watches.stream().allMatch(watch -> watch.revision() == run.lastRevision));
        long wentBack = watches.stream().mapToLong(InForceWatch::wentBack).sum();
        watches.forEach(InForceWatch::stop);
        double restPerSecond = appendsPerSecond(fleet, restMillis);
        return report(run, restPerSecond, allReached, wentBack);
    }

    private MeasurementReport report(EditRun run, double restPerSecond, boolean allReached, long wentBack) {
        Collections.sort(run.fromPostMillis);
        Collections.sort(run.fromAnswerMillis);
        long p50 = percentile(run.fromPostMillis, 50);
        long p99 = percentile(run.fromPostMillis, 99);
        MeasurementTable inForce = new MeasurementTable(
                run.fromPostMillis.size() + " edits, 6 daemon processes, one killed (SIGKILL) and started again"
                        + " meanwhile; real time on loopback",
                List.of("counted from", "p50 ms", "p99 ms", "worst ms"),
                List.of(
                        row("the edit was handed in", run.fromPostMillis),
                        row("accepted was answered", run.fromAnswerMillis)));
        MeasurementTable rest = new MeasurementTable(
                "Appends at rest, 6 daemon processes, real time",
                List.of("appends a second"),
                List.of(List.of(String.format(Locale.ROOT, "%.2f", restPerSecond))));
        return new MeasurementReport(
                List.of(inForce, rest, sizes()),
                List.of(
                        new MeasurementBound(
                                "an edit is in force everywhere within 11 s",
                                "p99 " + p99 + " ms",
                                p99 <= IN_FORCE_MILLIS && !run.fromPostMillis.isEmpty()),
                        new MeasurementBound(
                                "every edit is accepted", run.notAccepted + " not accepted", run.notAccepted == 0),
                        new MeasurementBound(
                                "every daemon reaches the last revision, the restarted one too",
                                allReached ? "all" : "not all",
                                allReached),
                        new MeasurementBound("no daemon's revision goes back", wentBack + " times", wentBack == 0)),
                String.format(Locale.ROOT, "in force on the last of 6 daemons: p50 %d ms, p99 %d ms", p50, p99));
    }

    /** The slope of bytes by the number of owners: what one edit, one checkpoint and one fold cost. */
    private static MeasurementTable sizes() {
        ControlCodec codec = new ControlCodec();
        List<List<String>> rows = new ArrayList<>();
        for (int owners : List.of(2, 190, 1_900)) {
            Catalogue base = catalogue(7, owners, 1_000);
            CatalogueChange one = CatalogueChange.between(base, withDeadline(base, 2_000));
            String edit = codec.encode(new CatalogueEdit("edit-1", "meera", 1L, 7, one));
            ControlSnapshot state = new ControlStateMachine(codec, ControlSnapshot.EMPTY).snapshot();
            String checkpoint = codec.encode(new Checkpoint(
                    "checkpoint-1", new ControlSnapshot(7, state.recentIds(), base, List.of(), state.authority())));
            rows.add(List.of(
                    Integer.toString(owners),
                    Integer.toString(edit.length()),
                    Integer.toString(checkpoint.length()),
                    String.format(Locale.ROOT, "%.2f", foldMillis(codec, base))));
        }
        return new MeasurementTable(
                "Size by owners (one entry each): an edit of one entry, a checkpoint, and the time to fold one edit",
                List.of("owners", "edit bytes", "checkpoint bytes", "fold ms"),
                rows);
    }

    private static double foldMillis(ControlCodec codec, Catalogue base) {
        int rounds = 40;
        ControlStateMachine fold = new ControlStateMachine(
                codec,
                new ControlSnapshot(base.revision(), List.of(), base, List.of(), ControlSnapshot.EMPTY.authority()));
        long startNanos = System.nanoTime();
        for (int i = 0; i < rounds; i++) {
            Catalogue now = fold.catalogueState().catalogue();
            CatalogueChange change = new CatalogueChange(
                    List.of(),
                    List.of(),
                    List.of(),
                    List.of(),
                    List.of(entry("entry-0", "owner-0", 3_000 + i)),
                    List.of());
            String payload = codec.encode(new CatalogueEdit("edit-" + i, "meera", 1L, now.revision(), change));
            fold.apply(new LogRecord(now.revision() + 1, payload));
        }
        return (System.nanoTime() - startNanos) / 1e6 / rounds;
    }

    private static Catalogue catalogue(long revision, int owners, long deadlineMillis) {
        Map<String, Owner> byName = new TreeMap<>();
        Map<String, CatalogueEntry> entries = new TreeMap<>();
        for (int i = 0; i < owners; i++) {
            String hash = String.format(Locale.ROOT, "%064x", i);
            byName.put("owner-" + i, new Owner("owner-" + i, List.of(hash), Limits.NONE));
            entries.put("entry-" + i, entry("entry-" + i, "owner-" + i, deadlineMillis));
        }
        TargetGroup group = new TargetGroup("reading", TargetGroup.Kind.ENGINE, "reader-7b", true);
        return new Catalogue(
                revision, new TreeMap<>(byName), new TreeMap<>(Map.of("reading", group)), new TreeMap<>(entries));
    }

    private static CatalogueEntry entry(String name, String owner, long deadlineMillis) {
        return new CatalogueEntry(
                name, owner, WorkClass.URGENT, "reading", true, deadlineMillis, new Limits(8, 0, 0, 0));
    }

    private static Catalogue withDeadline(Catalogue base, long deadlineMillis) {
        Map<String, CatalogueEntry> entries = new TreeMap<>(base.entries());
        entries.put("entry-0", entry("entry-0", "owner-0", deadlineMillis));
        return new Catalogue(base.revision(), base.owners(), base.groups(), new TreeMap<>(entries));
    }

    private static double appendsPerSecond(DaemonFleet fleet, long restMillis) {
        long before = fleet.appendCount();
        pause(restMillis);
        return (fleet.appendCount() - before) * 1_000.0 / restMillis;
    }

    private static List<String> row(String from, List<Long> sorted) {
        return List.of(
                from,
                Long.toString(percentile(sorted, 50)),
                Long.toString(percentile(sorted, 99)),
                Long.toString(percentile(sorted, 100)));
    }

    private static long percentile(List<Long> sorted, int percent) {
        return sorted.isEmpty() ? -1 : sorted.get(Math.min(sorted.size() - 1, sorted.size() * percent / 100));
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "in-force-watch");
        thread.setDaemon(true);
        thread.start();
    }

    private static boolean waitUntil(long mostMillis, Condition condition) {
        long endNanos = System.nanoTime() + mostMillis * 1_000_000;
        while (System.nanoTime() < endNanos) {
            if (condition.holds()) {
                return true;
            }
            pause(1);
        }
        return condition.holds();
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Something that is waited for. */
    @FunctionalInterface
    private interface Condition {

        /** Whether it is so by now. */
        boolean holds();
    }

    /** Hands edits in, by way of one daemon after the other, and times each of them. */
    private final class EditRun {

        private final DaemonFleet fleet;
        private final List<InForceWatch> watches;
        private final CatalogueCodec codec = new CatalogueCodec();
        private final List<Long> fromPostMillis = new ArrayList<>();
        private final List<Long> fromAnswerMillis = new ArrayList<>();
        private long lastRevision = Catalogue.NO_REVISION;
        private int notAccepted;
        private int dead = -1;

        EditRun(DaemonFleet fleet, List<InForceWatch> watches) {
            this.fleet = fleet;
            this.watches = watches;
        }

        void all(int edits) {
            for (int i = 0; i < edits; i++) {
                if (i == edits / 3) {
                    dead = DAEMONS - 1;
                    fleet.kill(dead);
                }
                if (i == edits * 2 / 3) {
                    watches.get(dead).forget();
                    fleet.start(dead);
                    dead = -1;
                    waitUntil(READY_MILLIS, () -> watches.get(DAEMONS - 1).revision() == lastRevision);
                }
                one(i);
            }
        }

        private void one(int number) {
            String text = codec.write(catalogue(lastRevision, 2, 1_000L + number));
            int by = number % DAEMONS == dead ? 0 : number % DAEMONS;
            long postedNanos = System.nanoTime();
            Optional<ApplyAnswer> answer = post(by, new EditRequest("edit-" + number, "measure", text));
            long answeredNanos = System.nanoTime();
            if (answer.isEmpty() || answer.get().verdict() != ApplyAnswer.Verdict.ACCEPTED) {
                notAccepted++;
                return;
            }
            lastRevision = answer.get().revision();
            List<InForceWatch> live = IntStream.range(0, DAEMONS)
                    .filter(i -> i != dead)
                    .mapToObj(watches::get)
                    .collect(Collectors.toList());
            if (!waitUntil(READY_MILLIS, () -> live.stream().allMatch(watch -> watch.revision() >= lastRevision))) {
                notAccepted++;
                return;
            }
            long lastNanos =
                    live.stream().mapToLong(InForceWatch::sinceNanos).max().orElse(postedNanos);
            fromPostMillis.add((lastNanos - postedNanos) / 1_000_000);
            fromAnswerMillis.add(Math.max(0, lastNanos - answeredNanos) / 1_000_000);
        }

        private Optional<ApplyAnswer> post(int by, EditRequest request) {
            try {
                Optional<OperatorReply> reply =
                        fleet.client(by).post("/control/catalogue/edits", mapper.writeValueAsString(request));
                return reply.isEmpty()
                        ? Optional.empty()
                        : Optional.of(mapper.readValue(reply.get().body(), ApplyAnswer.class));
            } catch (JsonProcessingException e) {
                return Optional.empty();
            }
        }
    }
}
