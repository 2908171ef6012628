package org.dogwoodwinch.measure;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Counts lines of code by package: how much of the code decides, and how much of it is tests.
 *
 * <p>A line of code is one that is neither blank nor wholly a comment.
 */
public final class LineMeasurement implements Measurement {

    /** Routing, limits, retries, membership, state and recovery. */
    private static final Set<String> CORE =
            Set.of("admission", "authority", "catalogue", "control", "peer", "request", "roles", "routing");

    private static final double LEAST_CORE_SHARE = 0.25;
    private static final double MOST_TEST_SHARE = 1.0 / 3;
    private static final String SOURCE_SUFFIX = ".java";
    private static final String ROOT_PACKAGE = "org/dogwoodwinch";

    private final Path projectRoot;

    /**
     * Creates the measurement.
     *
     * @param projectRoot the folder that holds {@code src}, not null
     */
    public LineMeasurement(Path projectRoot) {
        this.projectRoot = Objects.requireNonNull(projectRoot, "projectRoot");
    }

    @Override
    public String name() {
        return "lines";
    }

    @Override
    public String description() {
        return "lines of code by package, the share that decides and the share of tests";
    }

    @Override
    public MeasurementReport run(boolean _quick) {
        SortedMap<String, Long> mainLines = count("src/main/java");
        SortedMap<String, Long> testLines = count("src/test/java");
        long mainTotal = total(mainLines);
        long testTotal = total(testLines);
        long core = mainLines.entrySet().stream()
                .filter(entry -> CORE.contains(entry.getKey()))
                .mapToLong(Map.Entry::getValue)
                .sum();
        double coreShare = share(core, mainTotal + testTotal);
        double testShare = share(testTotal, mainTotal + testTotal);
        return new MeasurementReport(
                List.of(table(mainLines, testLines)),
                List.of(
                        new MeasurementBound(
                                "routing, limits, retries, membership, state, recovery >= 25% of all code",
                                percent(coreShare), coreShare >= LEAST_CORE_SHARE),
                        new MeasurementBound(
                                "tests < a third of all code", percent(testShare), testShare < MOST_TEST_SHARE)),
                "lines: " + mainTotal + " of code and " + testTotal + " of tests; " + percent(coreShare)
                        + " decide, tests are " + percent(testShare));
    }

    private MeasurementTable table(SortedMap<String, Long> mainLines, SortedMap<String, Long> testLines) {
        SortedMap<String, Long> packages = new TreeMap<>(testLines);
        packages.putAll(mainLines);
        double all = total(mainLines) + total(testLines);
        List<List<String>> rows = new ArrayList<>();
        packages.keySet().forEach(name -> {
            long code = mainLines.getOrDefault(name, 0L);
            long tests = testLines.getOrDefault(name, 0L);
            rows.add(List.of(
                    name,
                    CORE.contains(name) ? "yes" : "",
                    Long.toString(code),
                    Long.toString(tests),
                    percent((code + tests) / all)));
        });
        return new MeasurementTable(
                "Lines that are neither blank nor comment",
                List.of("package", "decides", "code", "tests", "share of all"),
                rows);
    }

    private SortedMap<String, Long> count(String folder) {
        Path root = projectRoot.resolve(folder).resolve(ROOT_PACKAGE);
        SortedMap<String, Long> lines = new TreeMap<>();
        try (Stream<Path> files = Files.walk(root)) {
            files.filter(file -> file.toString().endsWith(SOURCE_SUFFIX))
                    .forEach(file -> lines.merge(packageOf(root, file), codeLines(file), Long::sum));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return lines;
    }

    private static String packageOf(Path root, Path file) {
        Path relative = root.relativize(file);
        return relative.getNameCount() > 1 ? relative.getName(0).toString() : "(root)";
    }

    private static long codeLines(Path file) {
        try (Stream<String> lines = Files.lines(file)) {
            return lines.map(String::strip).filter(LineMeasurement::isCode).count();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static boolean isCode(String line) {
        return !line.isEmpty() && !line.startsWith("//") && !line.startsWith("/*") && !line.startsWith("*");
    }

    private static long total(SortedMap<String, Long> lines) {
        return lines.values().stream().mapToLong(Long::longValue).sum();
    }

    private static double share(long part, long whole) {
        return whole == 0 ? 0 : (double) part / whole;
    }

    private static String percent(double share) {
        return String.format("%.1f%%", share * 100);
    }
}
