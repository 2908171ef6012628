package org.dogwoodwinch.usage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.bytes.Packing;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * The newest reports, as the log holds them. A report is sent only after the log accepted it, so that a successor knows
 * the counts that its predecessor may have sent.
 *
 * <p>Failure: a holder reports a window, its answer is lost, and the successor reports the same window with other
 * counts.
 *
 * @param recent the newest reports in ascending order of their windows, not null; all earlier windows are decided too
 */
public record ReportedUsage(List<UsageReport> recent) {

    /** Nothing has been reported. */
    public static final ReportedUsage NONE = new ReportedUsage(List.of());

    /** Reports that a successor sends again, since it cannot know whether they arrived. */
    private static final int RETAINED_REPORTS = 3;

    private static final int REPORT_FIELD_COUNT = 2;

    /** Copies the list. */
    public ReportedUsage {
        recent = List.copyOf(recent);
    }

    /**
     * Returns the newest window that is decided.
     *
     * @return its number; empty if there is none
     */
    public Optional<Long> decidedThrough() {
        return recent.isEmpty()
                ? Optional.empty()
                : Optional.of(recent.get(recent.size() - 1).window());
    }

    /**
     * Adds a report.
     *
     * @param report the report of a window after all others, not null
     * @return the newest reports with this one
     */
    public ReportedUsage with(UsageReport report) {
        List<UsageReport> reports = new ArrayList<>(recent);
        reports.add(report);
        return new ReportedUsage(reports.subList(Math.max(0, reports.size() - RETAINED_REPORTS), reports.size()));
    }

    /**
     * Encodes the reports for the log.
     *
     * @return the bytes
     */
    public Bytes encode() {
        return Packing.pack(this, ReportedUsage::write);
    }

    /**
     * Decodes reports.
     *
     * @param content the bytes, not null
     * @return the reports
     * @throws IOException if the bytes are malformed
     */
    public static ReportedUsage decode(Bytes content) throws IOException {
        return Packing.unpack(
                content.toByteArray(),
                unpacker -> new ReportedUsage(Packing.readAll(unpacker, ReportedUsage::readReport)));
    }

    private static void write(MessagePacker packer, ReportedUsage usage) throws IOException {
        Packing.writeAll(packer, usage.recent, (to, report) -> {
            to.packArrayHeader(REPORT_FIELD_COUNT);
            to.packLong(report.window());
            Packing.writeNumbers(to, new TreeMap<>(report.counts()));
        });
    }

    private static UsageReport readReport(MessageUnpacker unpacker) throws IOException {
        Packing.expectFields(unpacker, REPORT_FIELD_COUNT);
        long window = unpacker.unpackLong();
        return new UsageReport(window, Packing.readNumbers(unpacker));
    }
}
