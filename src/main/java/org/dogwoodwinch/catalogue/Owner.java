package org.dogwoodwinch.catalogue;

import java.util.List;
import java.util.Objects;

/**
 * A customer, with the bearer tokens that authenticate its calls and the limits of all its calls together.
 *
 * @param name the owner's unique name, not null
 * @param tokenHashes SHA-256 hashes, in lower-case hexadecimal, of the owner's bearer tokens, not null
 * @param limits the limits of all the owner's entries together, not null
 */
public record Owner(String name, List<String> tokenHashes, Limits limits) {

    /** Validates and copies the components. */
    public Owner {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(limits, "limits");
        tokenHashes = List.copyOf(tokenHashes);
    }
}
