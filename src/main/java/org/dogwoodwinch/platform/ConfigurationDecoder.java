package org.dogwoodwinch.platform;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.bytes.JsonTrees;
import org.dogwoodwinch.forwarding.ApiKey;
import org.dogwoodwinch.forwarding.CallOwner;
import org.dogwoodwinch.forwarding.CallerLimits;
import org.dogwoodwinch.forwarding.EngineTraits;
import org.dogwoodwinch.forwarding.OwnerKeys;
import org.dogwoodwinch.forwarding.RouteKind;
import org.dogwoodwinch.forwarding.RouteTable;
import org.dogwoodwinch.forwarding.ServiceEntry;
import org.dogwoodwinch.forwarding.ServiceRoute;
import org.dogwoodwinch.forwarding.WeightedService;
import org.dogwoodwinch.scaling.ScalingLimits;

/** Decodes the operator's configuration from JSON. */
public final class ConfigurationDecoder {

    private static final int MILLIS_PER_SECOND = 1_000;

    /** More than any price or boot time in seconds; a larger number would overflow sums of times. */
    private static final int MAX_SCALING_NUMBER = 1_000_000;

    private ConfigurationDecoder() {}

    /**
     * Decodes a configuration.
     *
     * @param body the configuration as JSON, not null
     * @return the route table
     * @throws IOException if the configuration is malformed, has no version or contains an invalid value
     */
    public static RouteTable decode(Bytes body) throws IOException {
        JsonNode root = readTree(body);
        if (!root.path("version").isNumber()) {
            throw new IOException("invalid configuration: version is missing or not a number");
        }
        try {
            List<ServiceRoute> routes = new ArrayList<>();
            root.path("routes").forEach(route -> routes.add(decodeRoute(route)));
            List<ServiceEntry> services = new ArrayList<>();
            root.path("services").forEach(service -> services.add(decodeService(service)));
            return new RouteTable(
                    root.path("version").asLong(),
                    routes,
                    services,
                    decodeLimits(root.path("limits")),
                    decodeOwners(root.path("tenants")));
        } catch (IllegalArgumentException e) {
            throw new IOException("invalid configuration: " + e.getMessage(), e);
        }
    }

    /** The library's message quotes the text around an error, which may be a caller's key. */
    private static JsonNode readTree(Bytes body) throws IOException {
        try {
            return JsonTrees.read(body.toByteArray());
        } catch (JsonProcessingException e) {
            JsonLocation place = e.getLocation();
            throw new IOException(
                    place == null
                            ? "invalid configuration: not JSON"
                            : "invalid configuration: not JSON at line " + place.getLineNr() + ", column "
                                    + place.getColumnNr());
        }
    }

    private static ServiceRoute decodeRoute(JsonNode route) {
        return new ServiceRoute(
                route.path("name").asText(),
                route.path("host").asText().toLowerCase(Locale.ROOT),
                route.path("pathPrefix").asText(),
                decodeKind(route.path("kind").asText()),
                route.path("resumable").asBoolean(),
                route.path("timeoutMs").asLong(),
                route.path("targetLatencyMs").asLong(),
                route.path("gapAimMs").asLong(),
                Math.max(1, route.path("maxAttempts").asInt(1)),
                // The priority on the wire is a rank: zero is served first.
                route.path("priority").asInt(),
                route.path("public").asBoolean(),
                decodeTrafficSplit(route));
    }

    private static RouteKind decodeKind(String value) {
        return switch (value) {
            case "safe" -> RouteKind.REPEATABLE;
            case "streaming" -> RouteKind.STREAM;
            case "unsafe" -> RouteKind.ONCE;
            default -> throw new IllegalArgumentException("unknown route kind: " + value);
        };
    }

    private static List<WeightedService> decodeTrafficSplit(JsonNode route) {
        List<WeightedService> weightedServices = new ArrayList<>();
        route.path("trafficSplit")
                .forEach(split -> weightedServices.add(new WeightedService(
                        split.path("service").asText(), split.path("weight").asDouble())));
        if (weightedServices.isEmpty()) {
            weightedServices.add(new WeightedService(route.path("service").asText(), 1));
        }
        return weightedServices;
    }

    private static ServiceEntry decodeService(JsonNode service) {
        JsonNode engine = service.path("engine");
        return new ServiceEntry(
                service.path("name").asText(),
                service.path("maxConnections").asInt(1),
                engine.isObject() ? Optional.of(decodeEngine(engine)) : Optional.empty(),
                decodeScaling(service.path("scaling")));
    }

    private static Optional<ScalingLimits> decodeScaling(JsonNode scaling) {
        if (scaling.isMissingNode() || scaling.isNull()) {
            return Optional.empty();
        }
        JsonNode prices = scaling.path("zonePrices");
        if (!prices.isObject()) {
            throw new IllegalArgumentException("scaling.zonePrices is not an object: " + prices);
        }
        Map<String, Double> priceByDataCentre = new HashMap<>();
        prices.properties()
                .forEach(price -> priceByDataCentre.put(
                        price.getKey(), requireNumber("zonePrices." + price.getKey(), price.getValue())));
        JsonNode spotPrice = scaling.path("spotPrice");
        return Optional.of(new ScalingLimits(
                requireCount(scaling, "min"),
                requireCount(scaling, "max"),
                Math.round(requireNumber("bootS", scaling.path("bootS")) * MILLIS_PER_SECOND),
                spotPrice.isMissingNode() || spotPrice.isNull()
                        ? OptionalDouble.empty()
                        : OptionalDouble.of(requireNumber("spotPrice", spotPrice)),
                priceByDataCentre));
    }

    private static int requireCount(JsonNode scaling, String field) {
        JsonNode value = scaling.path(field);
        if (!value.isInt() || value.asInt() < 0 || value.asInt() > MAX_SCALING_NUMBER) {
            throw new IllegalArgumentException(
                    "scaling." + field + " is not an integer from 0 to " + MAX_SCALING_NUMBER + ": " + value);
        }
        return value.asInt();
    }

    private static double requireNumber(String field, JsonNode value) {
        if (!value.isNumber() || !(value.asDouble() >= 0 && value.asDouble() <= MAX_SCALING_NUMBER)) {
            throw new IllegalArgumentException(
                    "scaling." + field + " is not a number from 0 to " + MAX_SCALING_NUMBER + ": " + value);
        }
        return value.asDouble();
    }

    private static EngineTraits decodeEngine(JsonNode engine) {
        return new EngineTraits(
                engine.path("slots").asInt(1),
                engine.path("kvCapacity").asLong(),
                engine.path("kvTokenBytes").asLong(),
                engine.path("linkMbps").asDouble(),
                Math.round(engine.path("handleTtlS").asDouble() * MILLIS_PER_SECOND),
                Math.round(engine.path("switchS").asDouble() * MILLIS_PER_SECOND));
    }

    /** A configuration without the field needs no keys; one with an empty list accepts none. */
    private static Optional<OwnerKeys> decodeOwners(JsonNode owners) {
        if (owners.isMissingNode() || owners.isNull()) {
            return Optional.empty();
        }
        Map<ApiKey, CallOwner> ownersByKey = new HashMap<>();
        for (JsonNode entry : owners) {
            CallOwner owner = decodeOwner(entry);
            entry.path("apiKeys").forEach(key -> ownersByKey.put(new ApiKey(key.asText()), owner));
        }
        return Optional.of(new OwnerKeys(ownersByKey));
    }

    private static CallOwner decodeOwner(JsonNode owner) {
        JsonNode priority = owner.path("priority");
        return new CallOwner(
                owner.path("name").asText(), priority.isInt() ? OptionalInt.of(priority.asInt()) : OptionalInt.empty());
    }

    private static CallerLimits decodeLimits(JsonNode limits) {
        CallerLimits defaults = CallerLimits.DEFAULT;
        return new CallerLimits(
                limits.path("maxHeaderBytes").asInt(defaults.maxHeaderBytes()),
                limits.path("maxBodyBytes").asInt(defaults.maxBodyBytes()),
                limits.path("headerTimeoutMs").asLong(defaults.headerTimeoutMillis()),
                limits.path("idleTimeoutMs").asLong(defaults.idleTimeoutMillis()));
    }
}
