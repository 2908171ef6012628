package org.dogwoodwinch.catalogue;

import java.util.List;
import java.util.Objects;

/**
 * A customer: who may call, and what all its calls together may use.
 *
 * @param name the owner's name, unique, not null
 * @param tokenHashes SHA-256 hashes, in lower-case hexadecimal, of the bearer tokens that are this owner's, not null
 * @param limits what all its entries together may use, not null
 */
public record Owner(String name, List<String> tokenHashes, Limits limits) {

    /** Checks and copies the parts. */
    public Owner {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(limits, "limits");
        tokenHashes = List.copyOf(tokenHashes);
    }
}
