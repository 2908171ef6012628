package org.dogwoodwinch.roles;

import java.util.ArrayList;
import java.util.List;
import org.dogwoodwinch.target.EngineRole;

/**
 * How many engines of a group have each role.
 *
 * @param prefill engines that compute prompts
 * @param decode engines that generate
 * @param mixed engines that do both
 */
public record RoleSplit(int prefill, int decode, int mixed) {

    /**
     * Lists every split that can serve requests.
     *
     * @param engines how many engines there are
     * @return the splits; those with engines of one half only are left out
     */
    public static List<RoleSplit> all(int engines) {
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
     * Counts engines of a role.
     *
     * @param role the role, not null
     * @return the count
     */
    public int of(EngineRole role) {
        return switch (role) {
            case PREFILL -> prefill;
            case DECODE -> decode;
            case MIXED -> mixed;
        };
    }

    /**
     * Counts the role changes to another split of as many engines.
     *
     * @param other the other split, not null
     * @return how many engines must change
     */
    public int changesTo(RoleSplit other) {
        int difference = Math.abs(prefill - other.prefill) + Math.abs(decode - other.decode);
        return (difference + Math.abs(mixed - other.mixed)) / 2;
    }
}
