package org.dogwoodwinch.authority;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Objects;

/**
 * Computes the priority in which instances claim a group: instances in the group's data centre come first, then the
 * order follows a hash of data centre and instance name.
 *
 * <p>All groups of a data centre are claimed by the same instance, because one renewal record covers all groups of a
 * holder, be it one group or fifty. Distributing groups individually would make nearly every instance a holder, and
 * each holder appends renewals.
 */
public final class ClaimPriority {

    private ClaimPriority() {}

    /**
     * An instance that may claim groups.
     *
     * @param name the instance's name, not null
     * @param dataCentre the instance's data centre, not null
     */
    public record Candidate(String name, String dataCentre) {

        /** Validates the components. */
        public Candidate {
            Objects.requireNonNull(name, "name");
            Objects.requireNonNull(dataCentre, "dataCentre");
        }
    }

    /**
     * Returns the rank of an instance for a group.
     *
     * @param group the group, as {@link EngineGroups#groupKey} returns it, not null
     * @param self the instance to rank, not null
     * @param candidates all live instances; the instance itself may be among them, not null
     * @return the number of other instances that come before it
     */
    public static int rank(String group, Candidate self, Collection<Candidate> candidates) {
        String dataCentre = group.substring(group.lastIndexOf('@') + 1);
        return (int) candidates.stream()
                .filter(other -> !other.name().equals(self.name()) && isBefore(other, self, dataCentre))
                .count();
    }

    private static boolean isBefore(Candidate other, Candidate self, String dataCentre) {
        boolean otherIsLocal = other.dataCentre().equals(dataCentre);
        boolean selfIsLocal = self.dataCentre().equals(dataCentre);
        if (otherIsLocal != selfIsLocal) {
            return otherIsLocal;
        }
        return hash(dataCentre, other.name()) > hash(dataCentre, self.name());
    }

    private static long hash(String dataCentre, String name) {
        return Hashing.murmur3_128()
                .hashString(dataCentre + "/" + name, StandardCharsets.UTF_8)
                .asLong();
    }
}
