package org.dogwoodwinch.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.dogwoodwinch.peer.PeerBoard;
import org.dogwoodwinch.peer.PeerItem;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.time.TimeSource;

/**
 * Keeps the owners' limits shared between the instances by notes on the peer board.
 *
 * <p>Each unit of a limit has a fixed home, so no agreement is needed to know whose it is; notes only move units for a
 * term from homes with little demand to instances with more. An instance that hears nobody keeps what is at home with
 * it, stops using what it borrowed when the terms end, and gets back what it lent a margin later.
 *
 * <p>A home that restarts has forgotten what it lent. It uses none of its units until every other home has named this
 * new incarnation in a note (which also lists what that one still holds of the old incarnation, and is a promise to take
 * no more grants of it), or until the longest term has passed. Thread-safe: all methods hold this object's monitor.
 */
public final class ShareExchange {

    private static final String KEY = "shares";
    private static final int MOST_LIMITS_IN_NOTE = 128;
    private static final int NOTES_KEPT = 50;
    private static final long IDLE_MILLIS = 2_000;
    private static final long SMALLEST_PIECE_UNITS = 4;
    private static final long PIECES_OF_HOME = 4;

    private final ShareSettings settings;
    private final PeerBoard board;
    private final TimeSource time;
    private final long incarnation;
    private final GrantTerm grantTerm;
    private final long startedMillis;
    private final Map<String, ShareLedger> ledgers = new TreeMap<>();
    private final Map<String, Long> limits = new HashMap<>();
    private final Map<Integer, Long> lives = new HashMap<>();
    private final Map<Integer, Long> lastStamps = new HashMap<>();
    private final Map<Integer, Boolean> acknowledged = new HashMap<>();
    private long homeClosedUntilMillis;
    private long nextGrantId;

    /**
     * Creates an exchange; {@link #start()} sets it going.
     *
     * @param settings how limits are shared, not null
     * @param board the notice board, not null
     * @param time the clock, not null
     * @param incarnation grows with each start of the home, such as the time of day at the start
     */
    public ShareExchange(ShareSettings settings, PeerBoard board, TimeSource time, long incarnation) {
        this(settings, board, time, incarnation, GrantTerm.FROM_OWN_STAMP, settings.restartWaitMillis());
    }

    ShareExchange(
            ShareSettings settings,
            PeerBoard board,
            TimeSource time,
            long incarnation,
            GrantTerm grantTerm,
            long restartWaitMillis) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.board = Objects.requireNonNull(board, "board");
        this.time = Objects.requireNonNull(time, "time");
        this.incarnation = incarnation;
        this.grantTerm = Objects.requireNonNull(grantTerm, "grantTerm");
        this.startedMillis = time.monotonicMillis();
        this.homeClosedUntilMillis = startedMillis + (settings.homeCount() == 1 ? 0 : restartWaitMillis);
    }

    /** Subscribes, and publishes notes from now on. */
    public synchronized void start() {
        board.subscribe(PeerTopic.DEMAND, this::onItem);
        publishAndRepeat();
    }

    /**
     * Returns the ledger of a limit, made at need.
     *
     * @param limitId names the limit, not null
     * @param units the whole limit over all instances
     * @return the ledger; use it under this object's monitor
     */
    synchronized ShareLedger ledger(String limitId, long units) {
        limits.put(limitId, units);
        ShareLedger ledger = ledgers.computeIfAbsent(limitId, id -> new ShareLedger(id, settings.homeUnits(id, units)));
        ledger.setHome(settings.homeUnits(limitId, units), homeOpen());
        ledger.expire(time.monotonicMillis());
        return ledger;
    }

    /** Publishes one note now. */
    synchronized void publish() {
        long nowMillis = time.monotonicMillis();
        long idleSinceMillis = nowMillis - IDLE_MILLIS;
        for (ShareLedger ledger : ledgers.values()) {
            ledger.expire(nowMillis);
            ledger.returnUnusedSince(idleSinceMillis, nowMillis + settings.longestTermMillis());
        }
        board.publish(PeerTopic.DEMAND, KEY, ShareNoteCodec.encode(note(nowMillis)), keepMillis());
    }

    private void publishAndRepeat() {
        publish();
        time.schedule(settings.publishMillis(), this::publishAndRepeat);
    }

    private long keepMillis() {
        return settings.publishMillis() * NOTES_KEPT;
    }

    private ShareNote note(long nowMillis) {
        List<ShareNote.Want> wants = new ArrayList<>();
        List<ShareNote.Grant> grants = new ArrayList<>();
        List<ShareNote.Hold> holds = new ArrayList<>();
        busyLedgers().forEach(ledger -> {
            ledger.want().ifPresent(wants::add);
            grants.addAll(ledger.grants());
            holds.addAll(ledger.holds());
        });
        return new ShareNote(settings.homeIndex(), incarnation, nowMillis, livesByIndex(), wants, grants, holds);
    }

    /** Holds are never left out: a home that restarts relies on hearing of every one. */
    private Collection<ShareLedger> busyLedgers() {
        List<ShareLedger> busy = new ArrayList<>();
        for (ShareLedger ledger : ledgers.values()) {
            if (ledger.hasHolds() || (ledger.isBusy() && busy.size() < MOST_LIMITS_IN_NOTE)) {
                busy.add(ledger);
            }
        }
        return busy;
    }

    private List<Long> livesByIndex() {
        List<Long> byIndex = new ArrayList<>();
        for (int i = 0; i < settings.homeCount(); i++) {
            byIndex.add(lives.getOrDefault(i, 0L));
        }
        return byIndex;
    }

    private void onItem(PeerItem item) {
        if (item.key().equals(KEY)) {
            ShareNoteCodec.decode(item.payload()).ifPresent(note -> onNote(note, item.ageMillis()));
        }
    }

    /** Takes one note. */
    synchronized void onNote(ShareNote note, long ageMillis) {
        if (note.homeIndex() == settings.homeIndex()) {
            onOwnIndex(note, ageMillis);
            return;
        }
        if (!isNews(note)) {
            return;
        }
        note.holds().forEach(hold -> onHold(note, hold));
        acknowledge(note);
        note.grants().forEach(grant -> onGrant(note, grant));
        note.wants().forEach(want -> onWant(note, want));
    }

    /**
     * Two live instances with one home index would use its units twice; each steps back until the other is silent for
     * as long as a grant may last. A note written before this instance started is its predecessor's and says nothing.
     */
    private void onOwnIndex(ShareNote note, long ageMillis) {
        long nowMillis = time.monotonicMillis();
        if (note.incarnation() != incarnation && nowMillis - ageMillis > startedMillis) {
            homeClosedUntilMillis = nowMillis + settings.restartWaitMillis();
            acknowledged.clear();
        }
    }

    private boolean isNews(ShareNote note) {
        int index = note.homeIndex();
        long life = lives.getOrDefault(index, 0L);
        if (index < 0 || index >= settings.homeCount() || note.incarnation() < life) {
            return false;
        }
        if (note.incarnation() > life) {
            lives.put(index, note.incarnation());
            lastStamps.remove(index);
        }
        Long last = lastStamps.get(index);
        if (last != null && note.stampMillis() <= last) {
            return false;
        }
        lastStamps.put(index, note.stampMillis());
        return true;
    }

    private void acknowledge(ShareNote note) {
        int index = settings.homeIndex();
        if (index < note.lives().size() && note.lives().get(index) == incarnation) {
            acknowledged.put(note.homeIndex(), Boolean.TRUE);
        }
    }

    private boolean homeOpen() {
        return acknowledged.size() == settings.homeCount() - 1 || time.monotonicMillis() >= homeClosedUntilMillis;
    }

    private void onHold(ShareNote note, ShareNote.Hold hold) {
        if (hold.lenderIndex() != settings.homeIndex()) {
            return;
        }
        ShareLedger ledger = ledgers.computeIfAbsent(hold.limitId(), id -> new ShareLedger(id, 0));
        ShareLedger.GrantKey key =
                new ShareLedger.GrantKey(hold.lenderIndex(), hold.lenderIncarnation(), hold.grantId());
        long nowMillis = time.monotonicMillis();
        if (hold.state() == ShareNote.HoldState.RETURNED) {
            ledger.takeBack(key);
        } else if (hold.lenderIncarnation() == incarnation) {
            ledger.renew(key, note.stampMillis(), nowMillis, settings.marginMillis());
        } else {
            ledger.recallFormer(key, hold.units(), nowMillis + settings.restartWaitMillis());
        }
    }

    private void onGrant(ShareNote note, ShareNote.Grant grant) {
        if (grant.toIndex() != settings.homeIndex() || grant.toIncarnation() != incarnation) {
            return;
        }
        long nowMillis = time.monotonicMillis();
        long termMillis = Math.min(grant.termMillis(), settings.longestTermMillis());
        ShareLedger.GrantKey key = new ShareLedger.GrantKey(note.homeIndex(), note.incarnation(), grant.grantId());
        ledgers.computeIfAbsent(grant.limitId(), id -> new ShareLedger(id, 0))
                .borrow(
                        key,
                        grant.units(),
                        grantTerm.endMillis(grant.echoStampMillis(), nowMillis, termMillis),
                        nowMillis);
    }

    private void onWant(ShareNote note, ShareNote.Want want) {
        Long limit = limits.get(want.limitId());
        if (limit == null) {
            return;
        }
        long nowMillis = time.monotonicMillis();
        ShareLedger ledger = ledger(want.limitId(), limit);
        ledger.returnTo(note.homeIndex(), nowMillis + settings.longestTermMillis());
        long termMillis = Math.max(1, Math.min(want.termMillis(), settings.longestTermMillis()));
        long home = settings.homeUnits(want.limitId(), limit);
        long piece = Math.max(SMALLEST_PIECE_UNITS, home / PIECES_OF_HOME);
        long others = Math.max(1, settings.homeCount() - 1);
        long units = Math.min(piece, (want.units() + others - 1) / others);
        ShareLedger.GrantKey key = new ShareLedger.GrantKey(settings.homeIndex(), incarnation, nextGrantId++);
        ledger.lend(
                key,
                new ShareLedger.Loan(
                        note.homeIndex(),
                        note.incarnation(),
                        units,
                        note.stampMillis(),
                        termMillis,
                        nowMillis + termMillis + settings.marginMillis()));
    }
}
