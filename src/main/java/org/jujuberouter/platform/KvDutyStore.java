package org.jujuberouter.platform;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jujuberouter.control.DutyStore;
import org.jujuberouter.duty.StoreWrite;
import org.jujuberouter.http.JsonClient;
import org.jujuberouter.http.JsonReply;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.StorePosition;

/** Writes the keys of the duties in transactions. */
final class KvDutyStore implements DutyStore {
    private final JsonClient client;
    private final LongSupplier lease;
    private final StoreEra era;

    private KvDutyStore(JsonClient client, LongSupplier lease, StoreEra era) {
        this.client = client;
        this.lease = lease;
        this.era = era;
    }

    /** Returns the access over the given client; the lease is that of the registration, or 0 before there is one. */
    static KvDutyStore of(JsonClient client, LongSupplier lease, StoreEra era) {
        return new KvDutyStore(client, lease, era);
    }

    @Override
    public void createHolder(InstanceId instance, Consumer<StoreWrite> listener) {
        if (lease.getAsLong() == 0) {
            // Without a lease the key would outlast the instance.
            listener.accept(new StoreWrite.Conflict());
            return;
        }
        KvTransaction.create()
                .expect(StoreKeys.DUTY_HOLDER, KvTransaction.ABSENT)
                .put(StoreKeys.DUTY_HOLDER, bytes(instance.value()), lease.getAsLong())
                .send(client, reply -> listener.accept(outcome(reply)));
    }

    @Override
    public void deleteHolder(long revision, Consumer<StoreWrite> listener) {
        KvTransaction.create()
                .expect(StoreKeys.DUTY_HOLDER, revision)
                .delete(StoreKeys.DUTY_HOLDER)
                .send(client, reply -> listener.accept(outcome(reply)));
    }

    @Override
    public void commitWindow(
            long holderRevision,
            long window,
            Map<CustomerId, Long> counts,
            List<Long> obsolete,
            Consumer<StoreWrite> listener) {
        String key = StoreKeys.USAGE_WINDOWS + window;
        KvTransaction transaction = KvTransaction.create()
                .expect(StoreKeys.DUTY_HOLDER, holderRevision)
                .expect(key, KvTransaction.ABSENT)
                .put(key, bytes(KvValueCodec.counts(counts).toString()), KvTransaction.NO_LEASE);
        obsolete.forEach(w -> transaction.delete(StoreKeys.USAGE_WINDOWS + w));
        transaction.send(client, reply -> listener.accept(outcome(reply)));
    }

    private static byte[] bytes(String value) {
        return value.getBytes(StandardCharsets.UTF_8);
    }

    private StoreWrite outcome(JsonReply reply) {
        return switch (reply) {
            case JsonReply.Response r
            when r.status() == 200 && r.body().path("Rev").isIntegralNumber() -> applied(r);
            case JsonReply.Response r when r.status() == KvTransaction.CONFLICT -> new StoreWrite.Conflict();
            case JsonReply.Response r -> new StoreWrite.Unknown("status " + r.status());
            case JsonReply.NoResponse n -> new StoreWrite.Unknown(n.reason());
            case JsonReply.TooLarge t -> new StoreWrite.Unknown("more than " + t.limitBytes() + " bytes");
        };
    }

    private StoreWrite applied(JsonReply.Response response) {
        OptionalLong answered = era.of(response);
        if (answered.isEmpty()) {
            return new StoreWrite.Unknown("an answer of an era before " + era.latest());
        }
        long revision = response.body().path("Rev").asLong();
        return new StoreWrite.Applied(StorePosition.of(answered.getAsLong(), revision));
    }
}
