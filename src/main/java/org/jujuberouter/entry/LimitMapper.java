package org.jujuberouter.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.limits.DemandDigest;
import org.jujuberouter.limits.LimitKey;
import org.jujuberouter.limits.LimitTree;
import org.jujuberouter.limits.Limits;
import org.jujuberouter.peer.PeerMessage;
import org.jujuberouter.settings.EffectiveValue;
import org.jujuberouter.settings.SettingTarget;
import org.jujuberouter.settings.Settings;

/** Converts limits from settings, and demand to and from heartbeats. */
final class LimitMapper {
    private LimitMapper() {}

    /** Returns the limits of all customers with the inheritance of settings resolved. */
    static LimitTree tree(Settings settings) {
        Map<CustomerId, Limits> customers = new HashMap<>();
        Map<LimitKey, Limits> exact = new HashMap<>();
        for (CustomerId customer : settings.customers()) {
            customers.put(customer, limits(settings, List.of(new SettingTarget.Customer(customer))));
            for (ServiceName service : settings.services()) {
                List<SettingTarget> targets = List.of(
                        new SettingTarget.ServiceCustomer(service, customer),
                        new SettingTarget.Customer(customer),
                        new SettingTarget.Service(service));
                exact.put(LimitKey.of(customer, service), limits(settings, targets));
            }
        }
        return new LimitTree(limits(settings, List.of(new SettingTarget.Global())), Map.of(), customers, exact);
    }

    private static Limits limits(Settings settings, List<SettingTarget> targets) {
        return Limits.of(
                nearest(settings, targets, "limits.requests-per-second"),
                nearest(settings, targets, "limits.tokens-per-second"),
                (int) nearest(settings, targets, "limits.long-prompts"));
    }

    /** Returns the value of the first target that sets its own, or else the value that the last target inherits. */
    private static double nearest(Settings settings, List<SettingTarget> targets, String name) {
        for (SettingTarget target : targets) {
            Optional<EffectiveValue> value = settings.effective(target, name);
            if (value.isPresent() && value.get().source().equals(target.path(name))) {
                return value.get().value().doubleValue();
            }
        }
        return settings.number(targets.getLast(), name);
    }

    static List<PeerMessage.CustomerDemand> toMessage(DemandDigest digest) {
        return digest.entries().stream()
                .map(e -> new PeerMessage.CustomerDemand(
                        e.key().customer(),
                        e.key().service(),
                        e.requestsPerSecond(),
                        e.tokensPerSecond(),
                        e.activeLong(),
                        e.refusedLong()))
                .toList();
    }

    static DemandDigest fromMessage(List<PeerMessage.CustomerDemand> entries) {
        return new DemandDigest(entries.stream()
                .limit(DemandDigest.MAX_ENTRIES)
                .map(d -> new DemandDigest.Entry(
                        LimitKey.of(d.customer(), d.service()),
                        d.requestsPerSecond(),
                        d.tokensPerSecond(),
                        (int) Math.min(Integer.MAX_VALUE, d.activeLongPrompts()),
                        (int) Math.min(Integer.MAX_VALUE, d.refusedLongPrompts())))
                .toList());
    }
}
