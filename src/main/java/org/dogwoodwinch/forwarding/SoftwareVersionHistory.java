package org.dogwoodwinch.forwarding;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Which software versions the targets of each service have had, as far back as a stream may live, and since when that
 * has been observed without a gap. Not thread-safe.
 *
 * <p>Load: releases are rare, and at the target size tens of thousands of streams begin each second. While all targets
 * of a service have one version, it is the version of each of its streams, and nothing needs to be told about them.
 *
 * <p>Failure: an instance starts as a release ends, takes the version that is listed now for the only one that the
 * service has had, and streams of the version before go on at it. What was not observed is unknown: a service counts as
 * one with several versions until it has been observed for as long as a stream lives, by this instance or by one whose
 * observation it continues.
 */
public final class SoftwareVersionHistory {

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final LongSupplier lifetimeMillis;
    private final long maxUpdateGapMillis;
    private final long removedServesMillis;
    private final Map<String, Versions> versionsByService = new HashMap<>();

    /**
     * Creates an object that knows no service.
     *
     * @param lifetimeMillis supplies the longest lifetime of a stream, including the time by which the views of two
     *     instances may differ, in milliseconds, not null
     * @param maxUpdateGapMillis the longest time between two updates within which no version comes and goes unseen, in
     *     milliseconds; after a longer one, as after a suspension of the process, the observation begins anew
     * @param removedServesMillis the longest time for which a target serves on after its entry was removed, in
     *     milliseconds; an instance that is cut off from all others begins streams there until then
     */
    public SoftwareVersionHistory(LongSupplier lifetimeMillis, long maxUpdateGapMillis, long removedServesMillis) {
        this.lifetimeMillis = Objects.requireNonNull(lifetimeMillis, "lifetimeMillis");
        this.maxUpdateGapMillis = maxUpdateGapMillis;
        this.removedServesMillis = removedServesMillis;
    }

    /**
     * Updates the versions of a service.
     *
     * @param service the service, not null
     * @param listedVersions the versions of its listed targets, draining or not, not null
     * @param nowMillis the monotonic time
     */
    public void update(String service, Set<String> listedVersions, long nowMillis) {
        Versions versions = versionsByService.get(service);
        if (versions != null) {
            versions.update(listedVersions, nowMillis, maxUpdateGapMillis, nowMillis + removedServesMillis);
        } else if (!listedVersions.isEmpty()) {
            versionsByService.put(service, new Versions(listedVersions, nowMillis));
        }
    }

    /**
     * Begins all observations anew, because versions may have come and gone unseen.
     *
     * @param nowMillis the monotonic time
     */
    public void beginAnew(long nowMillis) {
        versionsByService.values().forEach(versions -> versions.observedSinceMillis = nowMillis);
    }

    /**
     * Records that a configuration leads streams to a service that may have begun at another one, whose versions are not
     * those of this service. Counts as a change of its versions, also if none is known yet.
     *
     * @param service the service to which they lead now, not null
     * @param movedMillis the monotonic time of the move
     */
    public void recordMove(String service, long movedMillis) {
        Versions versions = versionsByService.computeIfAbsent(service, _service -> new Versions(Set.of(), movedMillis));
        versions.movedMillis = Math.max(versions.movedMillis, movedMillis);
        versions.singleFromMillis = Math.max(versions.singleFromMillis, movedMillis);
    }

    /**
     * Considers that another instance has read of a move. Its time counts only if this instance does not know of the move,
     * since a statement that is passed to and fro would prolong it by its transit time.
     *
     * @param service the service to which streams are led now, not null
     * @param movedMillis the monotonic time of the move, or up to the longest transit time later
     * @param maxTransitMillis the longest transit time of a statement, in milliseconds
     * @return whether this instance did not know of the move
     */
    public boolean considerMove(String service, long movedMillis, long maxTransitMillis) {
        Versions versions = versionsByService.get(service);
        boolean isNews = versions == null || movedMillis - versions.movedMillis > maxTransitMillis;
        if (isNews) {
            recordMove(service, movedMillis);
        }
        return isNews;
    }

    /**
     * Returns how long ago a configuration led streams to a service that may have begun at another one.
     *
     * @param service the service, not null
     * @param nowMillis the monotonic time
     * @return the time since the last move, in milliseconds; empty if it is longer ago than a stream lives
     */
    public OptionalLong movedAgoMillis(String service, long nowMillis) {
        Versions versions = versionsByService.get(service);
        return versions == null || nowMillis - versions.movedMillis > lifetimeMillis.getAsLong()
                ? OptionalLong.empty()
                : OptionalLong.of(nowMillis - versions.movedMillis);
    }

    /**
     * Returns whether other instances have to be told at which version a stream of a service begins.
     *
     * @param service the service, not null
     * @param nowMillis the monotonic time
     * @return whether the service has several versions, or may have had them within the lifetime of a stream
     */
    public boolean maybeSeveral(String service, long nowMillis) {
        return onlyVersion(service, nowMillis).isEmpty();
    }

    /**
     * Returns the version of a stream that no instance has recorded, which therefore began where all targets were known
     * to have one version.
     *
     * @param service the service, not null
     * @param nowMillis the monotonic time
     * @return the only version that the service has had within the lifetime of a stream; empty if there were several, or
     *     if that is not known
     */
    public Optional<String> onlyVersion(String service, long nowMillis) {
        return singleVersion(service, nowMillis)
                .filter(single -> single.observedMillis() > lifetimeMillis.getAsLong())
                .map(SingleVersion::softwareVersion);
    }

    /**
     * Returns the version that a service has now, if it is one, and for how long streams began at no other.
     *
     * @param service the service, not null
     * @param nowMillis the monotonic time
     * @return the version; empty if the service has several, or is not known
     */
    public Optional<SingleVersion> singleVersion(String service, long nowMillis) {
        return Optional.ofNullable(versionsByService.get(service))
                .filter(versions -> versions.current.size() == 1)
                .map(versions -> new SingleVersion(
                        versions.current.iterator().next(),
                        nowMillis - Math.max(versions.observedSinceMillis, versions.singleFromMillis)));
    }

    /**
     * Returns for how long a service has been observed, whatever versions it had.
     *
     * @param service the service, not null
     * @param nowMillis the monotonic time
     * @return the time without a gap, in milliseconds; empty if the service is not known
     */
    public OptionalLong observedMillis(String service, long nowMillis) {
        Versions versions = versionsByService.get(service);
        return versions == null ? OptionalLong.empty() : OptionalLong.of(nowMillis - versions.observedSinceMillis);
    }

    /**
     * Returns whether another instance may know more of a service's past than this one.
     *
     * @param service the service, not null
     * @param nowMillis the monotonic time
     * @return whether the service has one version now and was observed for less than the lifetime of a stream
     */
    public boolean lacksPast(String service, long nowMillis) {
        return singleVersion(service, nowMillis).isPresent()
                && observedMillis(service, nowMillis).orElse(0) <= lifetimeMillis.getAsLong();
    }

    /**
     * Returns the versions that a service has now.
     *
     * @param service the service, not null
     * @return the versions of its targets when some were listed last; empty if the service is not known
     */
    public Set<String> currentVersions(String service) {
        Versions versions = versionsByService.get(service);
        return versions == null ? Set.of() : versions.current;
    }

    /**
     * Considers what another instance states of a service. If both see the same single version, the observation of the
     * other instance, which ends after that of this instance began, is continued. If the other sees a version that this
     * instance does not, one of them is late: its streams may have begun at the other version until now, as after a
     * change.
     *
     * @param service the service, not null
     * @param stated a version that the other instance sees, and for how long it has seen no other; zero if it sees
     *     several, not null
     * @param nowMillis the monotonic time
     */
    public void considerStatement(String service, SingleVersion stated, long nowMillis) {
        Versions versions = versionsByService.get(service);
        if (versions == null) {
            return;
        }
        if (!versions.current.contains(stated.softwareVersion())) {
            versions.singleFromMillis = nowMillis + removedServesMillis;
        } else if (versions.current.size() == 1) {
            versions.observedSinceMillis =
                    Math.min(versions.observedSinceMillis, nowMillis - Math.max(0, stated.observedMillis()));
            if (stated.observedMillis() < 0 && versions.singleFromMillis == NEVER) {
                // Who has seen the change knows its time, and statements that are passed to and fro would prolong it.
                versions.singleFromMillis = nowMillis - stated.observedMillis();
            }
        }
    }

    /**
     * The single version that a service has.
     *
     * @param softwareVersion the version, not null
     * @param observedMillis for how long it was observed that no stream can begin at another, in milliseconds; negative
     *     while targets of another one, whose entries were removed, may still serve
     */
    public record SingleVersion(String softwareVersion, long observedMillis) {
        /** Validates the components. */
        public SingleVersion {
            Objects.requireNonNull(softwareVersion, "softwareVersion");
        }
    }

    private static final class Versions {
        private Set<String> current;
        private long observedSinceMillis;
        private long updatedMillis;

        /** When no target of an earlier version serves any more. */
        private long singleFromMillis = NEVER;

        private long movedMillis = NEVER;

        Versions(Set<String> listed, long nowMillis) {
            this.current = Set.copyOf(listed);
            this.observedSinceMillis = nowMillis;
            this.updatedMillis = nowMillis;
        }

        void update(Set<String> listed, long nowMillis, long maxGapMillis, long removedServeUntilMillis) {
            if (nowMillis - updatedMillis > maxGapMillis) {
                observedSinceMillis = nowMillis;
            }
            updatedMillis = nowMillis;
            if (!listed.isEmpty() && !current.equals(listed)) {
                // Streams of versions that are gone may still be taken up.
                singleFromMillis = removedServeUntilMillis;
                current = Set.copyOf(listed);
            }
        }
    }
}
