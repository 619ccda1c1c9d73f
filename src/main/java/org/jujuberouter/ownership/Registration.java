package org.jujuberouter.ownership;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.store.LeaseId;
import org.jujuberouter.store.PlatformException;
import org.jujuberouter.store.PlatformStore;
import org.jujuberouter.store.StoreEntry;
import org.jujuberouter.store.WriteOutcome;

/**
 * The registration {@code instance/<id>} of one instance and the lease that keeps it.
 *
 * <p>The lease counts as valid from before the renewal was sent, so the local clock always ends it before the store does.
 * When the store answers that the lease has ended, the incarnation ends first and only then a new one is registered: from
 * the moment the new number can be read, others treat all that the old one was granted as cleared.
 */
public final class Registration {
    /** Time to live of the lease at the store. */
    public static final Duration LEASE = Duration.ofSeconds(10);

    /** Period of the renewals, before jitter. */
    public static final Duration RENEW_PERIOD = Duration.ofSeconds(5);

    /** How often {@link #tick} should be called. */
    public static final Duration TICK_PERIOD = Duration.ofMillis(250);

    /** Part of the lease that is not used, so that a local clock that is 2 % slow still ends it before the store does. */
    private static final long VALID_NANOS =
            LEASE.toNanos() - Duration.ofMillis(200).toNanos();

    /**
     * A gap between ticks that counts as a pause of the process.
     *
     * <p>Others clear a predecessor that the list has shown gone for 10 s. A process that was paused that long may have
     * been cleared without knowing, so it must hear from the store before it grants again.
     */
    private static final long PAUSE_NANOS = Duration.ofSeconds(9).toNanos();

    private static final long RETRY_NANOS = Duration.ofMillis(500).toNanos();
    private static final double JITTER = 0.2;
    private static final Logger LOG = System.getLogger(Registration.class.getName());

    private final Ticker ticker;
    private final PlatformStore store;
    private final InstanceId self;
    private final String facts;
    private final RandomGenerator random;
    private LeaseId lease;
    private byte[] attempt;
    private long attempts;
    private long due;
    private boolean stopped;

    /** Written by the ticking thread only; read on every permit. */
    private volatile Held held = new Held(null, 0);

    private volatile Incarnation process;
    private volatile long tickedAt;
    private volatile boolean suspended;

    private Registration(Ticker ticker, PlatformStore store, InstanceId self, String facts, RandomGenerator random) {
        this.ticker = ticker;
        this.store = store;
        this.self = self;
        this.facts = facts;
        this.random = random;
        this.due = ticker.nanos();
        this.tickedAt = due;
    }

    /**
     * Returns a registration that starts with the first {@link #tick}.
     *
     * @param facts what the entry says about the instance, such as its address and failure domain
     * @param random source of the jitter and of the token that makes each write recognisable
     */
    public static Registration of(
            Ticker ticker, PlatformStore store, InstanceId self, String facts, RandomGenerator random) {
        return new Registration(ticker, store, self, facts, random);
    }

    /** Returns the instance. */
    public InstanceId self() {
        return self;
    }

    /** Returns the current incarnation; empty before the first registration and after the store ended the lease. */
    public Optional<Incarnation> incarnation() {
        return Optional.ofNullable(held.incarnation);
    }

    /** Tells whether the lease is valid by the local clock. */
    public boolean valid() {
        return held.validNow(ticker.nanos());
    }

    /**
     * Returns the incarnation of this run of the process: that of its first registration.
     *
     * <p>It names the holder of requests. The incarnation of the lease cannot, because it also changes when the lease
     * lapsed while the process ran on, and the requests of an older incarnation are cancelled.
     */
    public Optional<Incarnation> processIncarnation() {
        return Optional.ofNullable(process);
    }

    /** Tells whether the process was paused for so long that it may not grant before the store has answered. */
    boolean suspended() {
        return suspended || ticker.nanos() - tickedAt >= PAUSE_NANOS;
    }

    Held held() {
        return held;
    }

    /** Registers or renews when that is due. */
    public synchronized void tick() {
        long now = ticker.nanos();
        if (now - tickedAt >= PAUSE_NANOS) {
            suspended = true;
            due = now;
        }
        tickedAt = now;
        if (stopped || now - due < 0) {
            return;
        }
        due = now + RETRY_NANOS + (long) (RETRY_NANOS * JITTER * random.nextDouble());
        try {
            if (held.incarnation != null) {
                renew(now);
            }
            if (held.incarnation == null) {
                register();
            }
        } catch (PlatformException e) {
            LOG.log(Level.DEBUG, "[ownership] lease of {0} not renewed: {1}", self, e.getMessage());
        }
        if (ticker.nanos() - now < PAUSE_NANOS) {
            tickedAt = ticker.nanos();
        }
    }

    /** Ends the lease at a planned stop, after all endpoints were released. */
    public synchronized void stop() {
        stopped = true;
        held = new Held(null, 0);
        if (lease != null) {
            try {
                store.revokeLease(lease);
            } catch (PlatformException e) {
                LOG.log(Level.INFO, "[ownership] lease of {0} not revoked, it lapses: {1}", self, e.getMessage());
            }
        }
    }

    private void renew(long sentAt) throws PlatformException {
        if (store.renewLease(lease)) {
            held = new Held(held.incarnation, sentAt + VALID_NANOS);
            suspended = false;
            scheduleNext(sentAt);
            return;
        }
        LOG.log(Level.WARNING, "[ownership] the store ended the lease of {0}, registering again", held.incarnation);
        held = new Held(null, 0);
        lease = null;
    }

    private void register() throws PlatformException {
        String key = "instance/" + self;
        Optional<StoreEntry> current = store.read(key);
        if (attempt != null
                && current.isPresent()
                && Arrays.equals(attempt, current.get().value())) {
            // An earlier write whose reply was lost took effect; the renewal finds out whether its lease still runs.
            long sentAt = ticker.nanos();
            if (lease != null && store.renewLease(lease)) {
                adopt(current.get().revision(), sentAt);
                return;
            }
        }
        long sentAt = ticker.nanos();
        lease = store.grantLease(LEASE);
        attempts++;
        attempt = (facts + " " + Long.toHexString(random.nextLong()) + "-" + attempts).getBytes(StandardCharsets.UTF_8);
        long expected = current.map(StoreEntry::revision).orElse(PlatformStore.ABSENT);
        if (store.compareAndSet(key, expected, attempt, lease) instanceof WriteOutcome.Done done) {
            adopt(done.revision(), sentAt);
        }
    }

    private void adopt(long revision, long sentAt) {
        attempt = null;
        held = new Held(Incarnation.of(self, revision), sentAt + VALID_NANOS);
        if (process == null) {
            process = held.incarnation;
        }
        suspended = false;
        LOG.log(Level.INFO, "[ownership] registered {0}", held.incarnation);
        scheduleNext(sentAt);
    }

    private void scheduleNext(long from) {
        long period = RENEW_PERIOD.toNanos();
        due = from + period - (long) (period * JITTER * random.nextDouble());
    }

    /** The incarnation with the end of its lease, replaced as one so that a reader never mixes two. */
    record Held(Incarnation incarnation, long validUntil) {
        boolean validNow(long now) {
            return incarnation != null && now - validUntil < 0;
        }
    }
}
