package org.dogwoodwinch.authority;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Objects;

/**
 * The order in which instances claim a group: those of its data centre first, by a hash of data centre and name.
 *
 * <p>All groups of a data centre fall to one instance, because a holder appends the same renewal for one group as for
 * fifty. Spreading groups one by one would make nearly every instance a holder, and each holder renews.
 */
public final class ClaimOrder {

    private ClaimOrder() {}

    /**
     * An instance that may claim.
     *
     * @param name its name, not null
     * @param dataCentre its data centre, not null
     */
    public record Member(String name, String dataCentre) {

        /** Checks the parts. */
        public Member {
            Objects.requireNonNull(name, "name");
            Objects.requireNonNull(dataCentre, "dataCentre");
        }
    }

    /**
     * Returns an instance's place in the order.
     *
     * @param group the group, as {@link EngineGroups#keyOf} names it, not null
     * @param self the instance, not null
     * @param candidates all live instances, with or without the instance itself, not null
     * @return how many others come before it
     */
    public static int rank(String group, Member self, Collection<Member> candidates) {
        String dataCentre = group.substring(group.lastIndexOf('@') + 1);
        return (int) candidates.stream()
                .filter(other -> !other.name().equals(self.name()) && isBefore(other, self, dataCentre))
                .count();
    }

    private static boolean isBefore(Member other, Member self, String dataCentre) {
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
