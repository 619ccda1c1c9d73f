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
 * The registration {@code instance/<id>} of one instance and the lease that it is bound to.
 *
 * <p>The validity of the lease is counted from before the renewal was sent, so that it expires by the local clock
 * before it expires at the store. When the store reports that the lease has expired, the incarnation ends before a new
 * one is registered: as soon as the new number can be read, other instances treat the old incarnation as cleared.
 */
public final class Registration {
    /** Time to live of the lease at the store. */
    public static final Duration LEASE = Duration.ofSeconds(10);

    /** Period of the renewals, without jitter. */
    public static final Duration RENEW_PERIOD = Duration.ofSeconds(5);

    /** Period at which {@link #tick} should be called. */
    public static final Duration TICK_PERIOD = Duration.ofMillis(250);

    /** Local validity of the lease; a local clock that is 2 % slow still ends it before the store does. */
    private static final long VALID_NANOS =
            LEASE.toNanos() - Duration.ofMillis(200).toNanos();

    /**
     * Time between ticks from which the process counts as paused.
     *
     * <p>Other instances clear a predecessor that has been absent from the list for 10 s. A process that was paused for
     * that long may have been cleared without knowing, so it must get a reply from the store before it grants again.
     */
    private static final long PAUSE_THRESHOLD_NANOS = Duration.ofSeconds(9).toNanos();

    private static final long RETRY_NANOS = Duration.ofMillis(500).toNanos();
    private static final double JITTER = 0.2;
    private static final Logger LOG = System.getLogger(Registration.class.getName());

    private final Ticker ticker;
    private final PlatformStore store;
    private final InstanceId self;
    private final String metadata;
    private final RandomGenerator random;
    private LeaseId lease;

    /** The value of the last write of the registration; null once a registration is known to have taken effect. */
    private byte[] pendingValue;

    private long writeCount;
    private long nextStepAt;
    private boolean stopped;

    /** Written under the lock of this object; read for every permit. */
    private volatile LeaseState leaseState = new LeaseState(null, 0);

    private volatile Incarnation processIncarnation;
    private volatile long lastTickAt;
    private volatile boolean suspended;

    private Registration(Ticker ticker, PlatformStore store, InstanceId self, String metadata, RandomGenerator random) {
        this.ticker = ticker;
        this.store = store;
        this.self = self;
        this.metadata = metadata;
        this.random = random;
        this.nextStepAt = ticker.nanos();
        this.lastTickAt = nextStepAt;
    }

    /**
     * Returns a registration that starts with the first {@link #tick}.
     *
     * @param metadata the description of the instance in the entry, such as its address and failure domain
     * @param random source of the jitter and of the token that makes each written value unique
     */
    public static Registration of(
            Ticker ticker, PlatformStore store, InstanceId self, String metadata, RandomGenerator random) {
        return new Registration(ticker, store, self, metadata, random);
    }

    public InstanceId self() {
        return self;
    }

    /**
     * Returns the current incarnation; empty before the first registration and after the lease expired at the store.
     */
    public Optional<Incarnation> incarnation() {
        return Optional.ofNullable(leaseState.incarnation);
    }

    /** Returns whether the lease is valid by the local clock. */
    public boolean valid() {
        return leaseState.validAt(ticker.nanos());
    }

    /**
     * Returns the incarnation of this run of the process: that of its first registration.
     *
     * <p>It identifies the holder of requests. The incarnation of the lease is not suitable for that, because it also
     * changes when the lease lapses while the process keeps running, and the requests of an older incarnation are
     * cancelled.
     */
    public Optional<Incarnation> processIncarnation() {
        return Optional.ofNullable(processIncarnation);
    }

    /** Returns whether the process was paused for so long that it must not grant until the store has replied. */
    boolean suspended() {
        return suspended || ticker.nanos() - lastTickAt >= PAUSE_THRESHOLD_NANOS;
    }

    LeaseState leaseState() {
        return leaseState;
    }

    /** Registers the instance or renews its lease if that is due. */
    public synchronized void tick() {
        long now = ticker.nanos();
        if (now - lastTickAt >= PAUSE_THRESHOLD_NANOS) {
            suspended = true;
            nextStepAt = now;
        }
        lastTickAt = now;
        if (stopped || now - nextStepAt < 0) {
            return;
        }
        nextStepAt = now + RETRY_NANOS + (long) (RETRY_NANOS * JITTER * random.nextDouble());
        try {
            if (leaseState.incarnation != null) {
                renew(now);
            }
            if (leaseState.incarnation == null) {
                register();
            }
        } catch (PlatformException e) {
            LOG.log(Level.DEBUG, "[ownership] lease of instance {0} not renewed: {1}", self, e.getMessage());
        }
        if (ticker.nanos() - now < PAUSE_THRESHOLD_NANOS) {
            lastTickAt = ticker.nanos();
        }
    }

    /** Revokes the lease at a planned stop; to be called after all endpoints were released. */
    public synchronized void stop() {
        stopped = true;
        leaseState = new LeaseState(null, 0);
        if (lease != null) {
            try {
                store.revokeLease(lease);
            } catch (PlatformException e) {
                LOG.log(
                        Level.INFO,
                        "[ownership] lease of instance {0} not revoked, left to expire: {1}",
                        self,
                        e.getMessage());
            }
        }
    }

    private void renew(long sentAt) throws PlatformException {
        if (store.renewLease(lease)) {
            leaseState = new LeaseState(leaseState.incarnation, sentAt + VALID_NANOS);
            suspended = false;
            scheduleNext(sentAt);
            return;
        }
        LOG.log(
                Level.WARNING,
                "[ownership] lease of {0} expired at the store; registering again",
                leaseState.incarnation);
        leaseState = new LeaseState(null, 0);
        lease = null;
    }

    private void register() throws PlatformException {
        String key = "instance/" + self;
        Optional<StoreEntry> current = store.read(key);
        if (pendingValue != null
                && current.isPresent()
                && Arrays.equals(pendingValue, current.get().value())) {
            // An earlier write whose reply was lost took effect; the renewal shows whether its lease is still valid.
            long sentAt = ticker.nanos();
            if (lease != null && store.renewLease(lease)) {
                onRegistered(current.get().revision(), sentAt);
                return;
            }
        }
        long sentAt = ticker.nanos();
        lease = store.grantLease(LEASE);
        writeCount++;
        pendingValue = (metadata + " " + Long.toHexString(random.nextLong()) + "-" + writeCount)
                .getBytes(StandardCharsets.UTF_8);
        long expected = current.map(StoreEntry::revision).orElse(PlatformStore.ABSENT);
        if (store.compareAndSet(key, expected, pendingValue, lease) instanceof WriteOutcome.Done done) {
            onRegistered(done.revision(), sentAt);
        }
    }

    private void onRegistered(long revision, long sentAt) {
        pendingValue = null;
        leaseState = new LeaseState(Incarnation.of(self, revision), sentAt + VALID_NANOS);
        if (processIncarnation == null) {
            processIncarnation = leaseState.incarnation;
        }
        suspended = false;
        LOG.log(Level.INFO, "[ownership] instance registered as {0}", leaseState.incarnation);
        scheduleNext(sentAt);
    }

    private void scheduleNext(long from) {
        long period = RENEW_PERIOD.toNanos();
        nextStepAt = from + period - (long) (period * JITTER * random.nextDouble());
    }

    /** The incarnation and the expiry of its lease; replaced together, so that a reader never sees parts of two. */
    record LeaseState(Incarnation incarnation, long validUntil) {
        boolean validAt(long now) {
            return incarnation != null && now - validUntil < 0;
        }
    }
}
