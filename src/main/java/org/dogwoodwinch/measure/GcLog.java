package org.dogwoodwinch.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the virtual machine's log of collections. */
final class GcLog {

    private static final Pattern PAUSE = Pattern.compile("Pause .* \\d+M->(\\d+)M\\(\\d+M\\)");

    private GcLog() {}

    /**
     * Reads the heap after each collection.
     *
     * @param lines the log, not null
     * @return megabytes, in order of time
     */
    static List<Integer> heapAfterMegabytes(List<String> lines) {
        List<Integer> after = new ArrayList<>();
        for (String line : lines) {
            Matcher matcher = PAUSE.matcher(line);
            if (matcher.find()) {
                after.add(Integer.parseInt(matcher.group(1)));
            }
        }
        return after;
    }
}
