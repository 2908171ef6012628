package org.dogwoodwinch.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.dogwoodwinch.catalogue.Catalogue;
import org.dogwoodwinch.catalogue.Limits;
import org.dogwoodwinch.catalogue.Owner;
import org.junit.jupiter.api.Test;

class OwnerTokensTest {

    private final OwnerTokens tokens = new OwnerTokens(new Catalogue(
            1,
            new TreeMap<>(Map.of(
                    "a", new Owner("a", List.of(hash("old"), hash("new")), Limits.NONE),
                    "b", new Owner("b", List.of(hash("bs"), "no hash", hash("x").substring(2)), Limits.NONE))),
            new TreeMap<>(),
            new TreeMap<>()));

    @Test
    void eachTokenOfAnOwnerIsItsOwn() {
        assertEquals(Optional.of("a"), tokens.ownerOf("Bearer old"));
        assertEquals(Optional.of("a"), tokens.ownerOf("bearer  new"));
        assertEquals(Optional.of("b"), tokens.ownerOf("Bearer bs"));
    }

    @Test
    void whatIsMissingMalformedOrUnknownIsNobodys() {
        for (String header :
                new String[] {null, "", "Bearer", "Bearer ", "Basic old", "old", "Bearer old2", "Bearer x"}) {
            assertEquals(Optional.empty(), tokens.ownerOf(header));
        }
    }

    private static String hash(String token) {
        return Hashing.sha256().hashString(token, StandardCharsets.UTF_8).toString();
    }
}
