package org.dogwoodwinch.roles;

import java.util.ArrayList;
import java.util.List;
import org.dogwoodwinch.target.EngineRole;

/**
 * The number of engines of a group in each role.
 *
 * @param prefill engines that compute prompts
 * @param decode engines that generate answers
 * @param mixed engines that do both
 */
public record RoleSplit(int prefill, int decode, int mixed) {

    /**
     * Lists every split that can serve requests.
     *
     * @param engines the number of engines
     * @return the splits; those with prefill engines but no decode engines, or the reverse, are left out
     */
    public static List<RoleSplit> possibleSplits(int engines) {
        List<RoleSplit> splits = new ArrayList<>();
        for (int prefill = 0; prefill <= engines; prefill++) {
            for (int decode = 0; prefill + decode <= engines; decode++) {
                if ((prefill == 0) == (decode == 0)) {
                    splits.add(new RoleSplit(prefill, decode, engines - prefill - decode));
                }
            }
        }
        return splits;
    }

    /**
     * Returns the number of engines in a role.
     *
     * @param role the role, not null
     * @return the number of engines
     */
    public int count(EngineRole role) {
        return switch (role) {
            case PREFILL -> prefill;
            case DECODE -> decode;
            case MIXED -> mixed;
        };
    }

    /**
     * Returns the number of role changes between this split and another one of equally many engines.
     *
     * @param other the other split, not null
     * @return the number of engines that must change
     */
    public int changesTo(RoleSplit other) {
        int difference = Math.abs(prefill - other.prefill) + Math.abs(decode - other.decode);
        return (difference + Math.abs(mixed - other.mixed)) / 2;
    }
}
