package org.dogwoodwinch.forwarding;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Which software versions the targets of each service have had, as far back as a stream may live. Not thread-safe.
 *
 * <p>Load: releases are rare, and at the target size tens of thousands of streams begin each second. While all targets
 * of a service have one version, it is the version of each of its streams, and nothing needs to be told about them.
 */
public final class SoftwareVersionHistory {

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final LongSupplier lifetimeMillis;
    private final Map<String, Versions> versionsByService = new HashMap<>();

    /**
     * Creates an object that knows no service.
     *
     * @param lifetimeMillis supplies the longest lifetime of a stream, including the time by which the views of two
     *     instances may differ, in milliseconds, not null
     */
    public SoftwareVersionHistory(LongSupplier lifetimeMillis) {
        this.lifetimeMillis = Objects.requireNonNull(lifetimeMillis, "lifetimeMillis");
    }

    /**
     * Updates the versions of a service.
     *
     * @param service the service, not null
     * @param listedVersions the versions of its listed targets, draining or not, not null
     * @param nowMillis the monotonic time
     */
    public void update(String service, Set<String> listedVersions, long nowMillis) {
        if (!listedVersions.isEmpty()) {
            versionsByService
                    .computeIfAbsent(service, _service -> new Versions(nowMillis))
                    .update(listedVersions, nowMillis);
        }
    }

    /**
     * Returns whether other instances have to be told at which version a stream of a service begins.
     *
     * @param service the service, not null
     * @param nowMillis the monotonic time
     * @return whether the service has several versions, or had them within the lifetime of a stream
     */
    public boolean areSeveral(String service, long nowMillis) {
        Versions versions = versionsByService.get(service);
        return versions != null
                && (versions.areSeveral() || nowMillis - versions.severalUntilMillis <= lifetimeMillis.getAsLong());
    }

    /**
     * Returns the version of a stream that no instance has recorded, which therefore began where all targets were known
     * to have one version.
     *
     * @param service the service, not null
     * @param nowMillis the monotonic time
     * @return the only version that the service has had within the lifetime of a stream; empty if there were several
     */
    public Optional<String> onlyVersion(String service, long nowMillis) {
        Versions versions = versionsByService.get(service);
        return versions == null || areSeveral(service, nowMillis)
                ? Optional.empty()
                : Optional.of(versions.latestOnlyVersion);
    }

    /**
     * Returns the only version that a service had before it got another one, while streams of that time may still live.
     *
     * @param service the service, not null
     * @param nowMillis the monotonic time
     * @return the version; empty if the service already had several versions then, or it is too long ago
     */
    public Optional<String> onlyVersionBefore(String service, long nowMillis) {
        Versions versions = versionsByService.get(service);
        boolean isRecent = versions != null
                && versions.areSeveral()
                && versions.wasOnlyVersionLongEnough
                && nowMillis - versions.severalSinceMillis <= lifetimeMillis.getAsLong();
        return isRecent ? Optional.of(versions.latestOnlyVersion) : Optional.empty();
    }

    private final class Versions {
        private final long firstMillis;
        private Set<String> current = Set.of();
        private String latestOnlyVersion = "";
        private long onlySinceMillis;
        private boolean wasOnlyVersionLongEnough;
        private long severalSinceMillis = NEVER;
        private long severalUntilMillis = NEVER;

        Versions(long firstMillis) {
            this.firstMillis = firstMillis;
        }

        boolean areSeveral() {
            return current.size() > 1;
        }

        void update(Set<String> versions, long nowMillis) {
            if (current.equals(versions)) {
                return;
            }
            boolean hadSeveral = areSeveral();
            boolean hadOne = current.size() == 1;
            current = Set.copyOf(versions);
            if (areSeveral()) {
                if (!hadSeveral) {
                    wasOnlyVersionLongEnough = hadOne
                            && (onlySinceMillis == firstMillis
                                    || nowMillis - onlySinceMillis > lifetimeMillis.getAsLong());
                    severalSinceMillis = nowMillis;
                }
                return;
            }
            if (hadSeveral || hadOne) {
                // Streams of the versions that are gone may still be taken up.
                severalUntilMillis = nowMillis;
            }
            latestOnlyVersion = current.iterator().next();
            onlySinceMillis = nowMillis;
        }
    }
}
