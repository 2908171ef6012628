package org.dogwoodwinch.forwarding;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The keys of all owners in one version of the configuration. Immutable: a key is added or revoked only together with
 * the version that does so.
 *
 * <p>Load: every call is looked up, so a lookup costs one hash, whatever the number of keys. The comparison of the text
 * follows only on an equal hash, so its duration tells a caller nothing about keys that it does not hold.
 */
public final class OwnerKeys {

    private final Map<ApiKey, CallOwner> ownersByKey;

    /**
     * Creates an index of keys.
     *
     * @param ownersByKey the owner of each key, not null; an empty map rejects every key
     */
    public OwnerKeys(Map<ApiKey, CallOwner> ownersByKey) {
        this.ownersByKey = Map.copyOf(Objects.requireNonNull(ownersByKey, "ownersByKey"));
    }

    /**
     * Returns the number of keys.
     *
     * @return the number of valid keys
     */
    public int count() {
        return ownersByKey.size();
    }

    /**
     * Decides for whom a call may be forwarded. A call on a public route needs no key; if it bears a valid one, it
     * still belongs to the owner of that key.
     *
     * @param route the route of the call, not null
     * @param key the key of the call; empty if it has none or more than one
     * @return the owner, or the reason for which the call is rejected
     */
    public CallerIdentity identify(ServiceRoute route, Optional<ApiKey> key) {
        Optional<CallOwner> owner = key.map(ownersByKey::get);
        if (owner.isPresent() || route.isPublic()) {
            return new CallerIdentity.Accepted(owner);
        }
        return new CallerIdentity.Rejected(key.isPresent() ? "unknown key" : "one key is needed");
    }
}
