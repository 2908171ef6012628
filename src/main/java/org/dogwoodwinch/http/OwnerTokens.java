package org.dogwoodwinch.http;

import com.google.common.collect.ArrayListMultimap;
import com.google.common.collect.ListMultimap;
import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import org.dogwoodwinch.catalogue.Catalogue;
import org.dogwoodwinch.catalogue.Owner;

/**
 * Finds the owner of a bearer token, from the hashes of one catalogue revision; immutable.
 *
 * <p>Time tells nothing of use: what is looked up is the token's SHA-256, which whoever guesses cannot steer, and the
 * last comparison takes the same time for any content.
 */
final class OwnerTokens {

    /** Knows nobody. */
    static final OwnerTokens EMPTY = new OwnerTokens(Catalogue.EMPTY);

    private static final String SCHEME = "Bearer ";

    private final ListMultimap<Long, Candidate> candidates = ArrayListMultimap.create();

    /**
     * Indexes a catalogue; a hash that is not SHA-256 in hexadecimal is nobody's.
     *
     * @param catalogue the catalogue, not null
     */
    OwnerTokens(Catalogue catalogue) {
        for (Owner owner : catalogue.owners().values()) {
            for (String hash : owner.tokenHashes()) {
                add(owner, hash);
            }
        }
    }

    /**
     * Finds the owner.
     *
     * @param authorization the Authorization header; null where there is none
     * @return the owner's name, or empty where the token is missing, malformed or nobody's
     */
    Optional<String> ownerOf(String authorization) {
        if (authorization == null || !authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return Optional.empty();
        }
        String token = authorization.substring(SCHEME.length()).trim();
        HashCode hash = Hashing.sha256().hashString(token, StandardCharsets.UTF_8);
        byte[] bytes = hash.asBytes();
        return candidates.get(hash.asLong()).stream()
                .filter(candidate -> MessageDigest.isEqual(candidate.hash().asBytes(), bytes))
                .map(Candidate::owner)
                .findFirst();
    }

    private void add(Owner owner, String hexadecimal) {
        if (hexadecimal.length() == 64 && BaseEncoding.base16().lowerCase().canDecode(hexadecimal)) {
            HashCode hash = HashCode.fromString(hexadecimal);
            candidates.put(hash.asLong(), new Candidate(hash, owner.name()));
        }
    }

    private record Candidate(HashCode hash, String owner) {}
}
