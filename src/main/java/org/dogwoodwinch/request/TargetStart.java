package org.dogwoodwinch.request;

import java.util.Objects;

/**
 * Names one start of a target, so that two crashes of a target that starts again under its id are told apart. The name
 * of a start without a stated time is the target's id.
 */
public final class TargetStart {

    private static final char SEPARATOR = '@';

    private TargetStart() {}

    /**
     * Returns the name of a start.
     *
     * @param targetId the target's id, not null
     * @param startedMillis the time of the start, in milliseconds of the platform's clock; zero if not stated
     * @return the name
     */
    public static String nameOf(String targetId, long startedMillis) {
        Objects.requireNonNull(targetId, "targetId");
        return startedMillis == 0 ? targetId : targetId + SEPARATOR + startedMillis;
    }

    /**
     * Returns the target of a start.
     *
     * @param startName the name of the start, or a target's id, not null
     * @return the target's id
     */
    static String targetIdOf(String startName) {
        int end = startName.lastIndexOf(SEPARATOR);
        boolean isStart = end > 0 && startName.substring(end + 1).chars().allMatch(Character::isDigit);
        return isStart ? startName.substring(0, end) : startName;
    }
}
