package org.dogwoodwinch.daemon;

import java.util.List;

/** Replaces the targets of a {@link SoakDay} by those of other versions, and moves the weights of its route. */
final class SoakReleases {

    /** Longer than an instance that starts takes a stream to live. */
    private static final long QUIET_MILLIS = 20_000;

    /** The time between the replacements of two targets in a release of all. */
    private static final long REPLACEMENT_MILLIS = 150;

    private final SoakDay day;
    private final boolean releasesAllAtOnce;
    private int versionsCount = 1;

    SoakReleases(SoakDay day, boolean releasesAllAtOnce) {
        this.day = day;
        this.releasesAllAtOnce = releasesAllAtOnce;
    }

    /** Begins a release or moves weights, at times. */
    void change() {
        long dayMillis = day.nowMillis() - day.startMillis;
        if (!day.plays(SoakDisturbance.MOVED_WEIGHTS)) {
            release(releasesAllAtOnce ? 1_200 : 100);
        } else if (dayMillis / SoakDay.STEP_MILLIS == QUIET_MILLIS / SoakDay.STEP_MILLIS) {
            day.fleet.time.schedule(day.random.nextInt(1_000), () -> release(1));
            day.fleet.time.schedule(day.random.nextInt(1_000), day.route::move);
        } else if (dayMillis > QUIET_MILLIS) {
            release(releasesAllAtOnce ? 1_200 : 100);
            if (day.random.nextInt(400) == 0) {
                day.route.move();
            }
        }
    }

    private void release(int meanSteps) {
        if (day.random.nextInt(meanSteps) != 0) {
            return;
        }
        if (releasesAllAtOnce) {
            releaseAll();
        } else {
            releaseOne();
        }
    }

    private String anyService() {
        return day.route.services.get(
                day.route.services.size() == 1 ? 0 : day.random.nextInt(day.route.services.size()));
    }

    /** Replaces a target by one of another version, a new one at times; the new one is listed first. */
    private void releaseOne() {
        String service = anyService();
        if (day.random.nextInt(5) == 0) {
            versionsCount++;
        }
        int oldest = Math.max(1, versionsCount - 2);
        String version = "v" + (oldest + day.random.nextInt(versionsCount - oldest + 1));
        day.targets.add(new SoakTarget(service, version, day.nowMillis()));
        day.listedOf(service).get(0).removeAt(day.nowMillis() + 1_000, servesOnMillis());
    }

    /** Replaces all targets, one after the other, and often all or most instances lose power as the release ends. */
    private void releaseAll() {
        String service = anyService();
        String version = "v" + ++versionsCount;
        List<SoakTarget> replaced = day.listedOf(service);
        for (int i = 0; i < replaced.size(); i++) {
            SoakTarget leaving = replaced.get(i);
            day.fleet.time.schedule(i * REPLACEMENT_MILLIS, () -> {
                day.targets.add(new SoakTarget(service, version, day.nowMillis()));
                if (!leaving.isRemovedBefore(day.nowMillis())) {
                    leaving.removeAt(day.nowMillis(), servesOnMillis());
                }
            });
        }
        if (day.random.nextBoolean()) {
            long endsMillis = replaced.size() * REPLACEMENT_MILLIS;
            day.fleet.time.schedule(endsMillis + day.random.nextInt(1_000), day::losePowerOfMany);
        }
    }

    /** Returns for how long a target serves on after its entry was removed, at times for many seconds. */
    private long servesOnMillis() {
        if (!day.playsMore()) {
            return 0;
        }
        return day.random.nextInt(day.random.nextBoolean() ? 2_000 : 12_000);
    }
}
