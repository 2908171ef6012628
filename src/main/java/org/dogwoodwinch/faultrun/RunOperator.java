package org.dogwoodwinch.faultrun;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;
import org.dogwoodwinch.authority.AuthorityRecord;
import org.dogwoodwinch.authority.PlannedChange;
import org.dogwoodwinch.catalogue.CatalogueChange;
import org.dogwoodwinch.catalogue.CatalogueEdit;
import org.dogwoodwinch.catalogue.CatalogueEntry;
import org.dogwoodwinch.catalogue.Limits;
import org.dogwoodwinch.catalogue.Owner;
import org.dogwoodwinch.catalogue.TargetGroup;
import org.dogwoodwinch.catalogue.WorkClass;
import org.dogwoodwinch.control.ControlCodec;
import org.dogwoodwinch.controllog.ControlRecord;
import org.dogwoodwinch.controllog.FollowerSettings;
import org.dogwoodwinch.external.LogService;
import org.dogwoodwinch.time.TimeSource;

/** Operators who edit the catalogue and plan changes on the log itself, without waiting for its answers. */
final class RunOperator {

    static final String TOKEN = "fault-run-token";
    static final String BOOKING = "booking";
    static final String READING = "reading";
    static final String SERVICE = "script-check";
    private static final String OWNER = "malabar";
    private static final long DEADLINE_MILLIS = 20_000;

    private final LogService log;
    private final LogWitness witness;
    private final TimeSource time;
    private final ControlCodec codec = new ControlCodec();
    private final AtomicLong count = new AtomicLong();

    /**
     * Creates the operators.
     *
     * @param log where they write, not null
     * @param witness knows the revision that they edit, not null
     * @param time gives the time of day, not null
     */
    RunOperator(LogService log, LogWitness witness, TimeSource time) {
        this.log = Objects.requireNonNull(log, "log");
        this.witness = Objects.requireNonNull(witness, "witness");
        this.time = Objects.requireNonNull(time, "time");
    }

    /** Publishes the first catalogue. */
    void publishCatalogue() {
        CatalogueChange change = new CatalogueChange(
                List.of(owner(Limits.NONE)),
                List.of(),
                List.of(
                        new TargetGroup(BOOKING, TargetGroup.Kind.ENGINE, model(BOOKING), true),
                        new TargetGroup(READING, TargetGroup.Kind.ENGINE, model(READING), false),
                        new TargetGroup(SERVICE, TargetGroup.Kind.SERVICE, "", false)),
                List.of(),
                List.of(
                        entry("slot", WorkClass.URGENT, BOOKING, true),
                        entry("playlist", WorkClass.STANDARD, BOOKING, true),
                        entry("notes", WorkClass.LONG_READ, READING, true),
                        entry("billed-check", WorkClass.STANDARD, READING, false),
                        entry(SERVICE, WorkClass.STANDARD, SERVICE, false)),
                List.of());
        append(new CatalogueEdit(nextId("edit"), "operator", time.wallMillis(), -1, change));
    }

    /** Edits the catalogue once. */
    void edit() {
        append(nextEdit(witness.revision()));
    }

    /** Two operators edit the same revision at once. */
    void race() {
        long base = witness.revision();
        append(nextEdit(base));
        append(nextEdit(base));
    }

    /**
     * Plans a change.
     *
     * @param change the change, not null
     */
    void plan(PlannedChange change) {
        append(new AuthorityRecord.PlanRequested(nextId("plan"), "operator", time.wallMillis(), -1, change));
    }

    /**
     * Names the model of a target group.
     *
     * @param group the group, not null
     * @return the model
     */
    static String model(String group) {
        return group + "-model";
    }

    private CatalogueEdit nextEdit(long base) {
        long number = count.incrementAndGet();
        CatalogueChange change = new CatalogueChange(
                List.of(owner(new Limits(0, 1_000_000 + number, 0, 0))),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of());
        return new CatalogueEdit(nextId("edit"), "operator", time.wallMillis(), base, change);
    }

    private void append(ControlRecord record) {
        log.append(FollowerSettings.CONTROL_STREAM.stream(), codec.encode(record))
                .whenComplete((_result, _error) -> {});
    }

    private String nextId(String kind) {
        return "operator-" + kind + "-" + count.incrementAndGet();
    }

    private static Owner owner(Limits limits) {
        String hash = Hashing.sha256().hashString(TOKEN, StandardCharsets.UTF_8).toString();
        return new Owner(OWNER, List.of(hash), limits);
    }

    private static CatalogueEntry entry(String name, WorkClass workClass, String group, boolean repeatable) {
        return new CatalogueEntry(name, OWNER, workClass, group, repeatable, DEADLINE_MILLIS, Limits.NONE);
    }
}
