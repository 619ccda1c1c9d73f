package org.jujuberouter.entry;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.jujuberouter.admission.Decision;
import org.jujuberouter.admission.Permit;
import org.jujuberouter.admission.PermitEnd;
import org.jujuberouter.admission.PermitRef;
import org.jujuberouter.admission.PermitRequest;
import org.jujuberouter.admission.Refusal;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.peer.PeerConnection;
import org.jujuberouter.peer.PeerException;
import org.jujuberouter.peer.PeerListener;
import org.jujuberouter.peer.PeerMessage;
import org.jujuberouter.quarantine.ClearNotice;
import org.jujuberouter.settings.SettingsDocument;
import org.jujuberouter.settings.SettingsException;

/** Hands the messages of peers to the parts they concern; never waits, as the connection's reading thread runs it. */
final class PeerInbox implements PeerListener {
    private static final Logger LOG = System.getLogger(PeerInbox.class.getName());

    private final InstanceRuntime runtime;
    private final Map<InstanceId, FailureDomain> domains = new ConcurrentHashMap<>();

    PeerInbox(InstanceRuntime runtime) {
        this.runtime = runtime;
    }

    @Override
    public void onConnected(Incarnation peer, FailureDomain domain) {
        domains.put(peer.instance(), domain);
    }

    @Override
    public void onMessage(PeerConnection from, PeerMessage message) {
        switch (message) {
            case PeerMessage.Heartbeat m -> heard(from.peer(), m);
            case PeerMessage.PermitRequest m -> permit(from, m);
            case PeerMessage.PermitStage m -> stage(m);
            case PeerMessage.PermitRelease m -> release(m);
            case PeerMessage.HolderQuery m ->
                reply(
                        from,
                        new PeerMessage.HolderReport(
                                m.endpoint(),
                                m.askedNanos(),
                                runtime.broker.held(m.endpoint()).stream()
                                        .map(p -> PermitWire.toMessage(p.request(), p.serial()))
                                        .toList()));
            case PeerMessage.HolderReport m -> {
                List<PermitRequest> held = PermitWire.fromMessage(m.permits(), 0, runtime.ticker).stream()
                        .map(Permit::request)
                        .toList();
                runtime.desk.on(m.endpoint(), b -> b.holderReport(from.peer(), held, m.askedNanos()));
            }
            case PeerMessage.Handover m -> handover(m);
            case PeerMessage.CrashNotice m -> runtime.receiveCrash(m);
            case PeerMessage.ClearNotice m ->
                runtime.evidence.merge(new ClearNotice(
                        m.fingerprint(), new HashSet<>(m.crashIds()), Duration.ofMillis(m.ageMillis())));
            case PeerMessage.RunRequest m -> reply(from, runtime.consent.answer(m));
            case PeerMessage.RunEnded m -> runtime.consent.note(m);
            case PeerMessage.SettingsPull m -> push(from, m);
            case PeerMessage.SettingsPush m -> settings(from, m);
            // Only instances on the users' platform share these.
            case PeerMessage.ShareNotice _, PeerMessage.Hello _, PeerMessage.Reply _ -> {
                // The connection handles these; a reply that comes here was too late.
            }
        }
    }

    private void heard(Incarnation sender, PeerMessage.Heartbeat m) {
        FailureDomain domain = domains.get(sender.instance());
        if (domain == null) {
            return;
        }
        runtime.membership.heartbeatReceived(sender, domain, "", m.leaving());
        runtime.settings.observePeer(sender.instance(), m.settingsVersion());
        runtime.limits.heard(sender.instance(), LimitWire.fromMessage(m.demand()));
        m.endpoints().forEach(d -> {
            runtime.ownership.hint(d.endpoint(), Optional.of(sender.instance()));
            runtime.fleet.heard(d);
        });
    }

    private void permit(PeerConnection from, PeerMessage.PermitRequest m) {
        if (!(m.target() instanceof PeerMessage.AtEndpoint at)) {
            reply(from, refusal(m));
            return;
        }
        PermitWire.fromMessage(m, from.peer(), runtime.ticker)
                .ifPresentOrElse(
                        request -> runtime.desk
                                .ask(at.endpoint(), request)
                                .thenAccept(d -> reply(
                                        from,
                                        new PeerMessage.PermitReply(
                                                m.callId(),
                                                PermitWire.toMessage(
                                                        at.endpoint(), d, runtime.crashId(at.endpoint()))))),
                        () -> reply(from, refusal(m)));
    }

    private static PeerMessage.PermitReply refusal(PeerMessage.PermitRequest m) {
        Decision none = new Decision.Refused(new Refusal.NotReporting());
        return new PeerMessage.PermitReply(m.callId(), PermitWire.toMessage(EndpointId.of("none"), none, ""));
    }

    private void stage(PeerMessage.PermitStage m) {
        switch (m.stage()) {
            case STARTED -> runtime.desk.started(m.endpoint(), m.request());
            case PREFILLED -> runtime.desk.prefillDone(m.endpoint(), m.request());
            default -> throw new IllegalStateException("unknown stage " + m.stage());
        }
    }

    private void release(PeerMessage.PermitRelease m) {
        if (m.fencingNumber() == 0) {
            runtime.desk.withdraw(m.endpoint(), m.request());
            return;
        }
        PermitRef permit = new PermitRef(m.request(), m.fencingNumber(), m.permitId());
        PermitEnd end = PermitWire.fromMessage(m.ending());
        runtime.desk.release(m.endpoint(), permit, end);
        if (end == PermitEnd.FAILED) {
            runtime.askNow(m.endpoint());
        }
    }

    private void handover(PeerMessage.Handover m) {
        List<Permit> permits = PermitWire.fromMessage(m.permits(), m.fencingNumber(), runtime.ticker);
        runtime.desk.on(m.endpoint(), b -> b.handover(m.fencingNumber(), permits));
        runtime.ownership.onHandover(m.endpoint());
    }

    private void push(PeerConnection to, PeerMessage.SettingsPull m) {
        SettingsDocument document = runtime.settings.document();
        if (document.version() > m.version()) {
            reply(to, new PeerMessage.SettingsPush(document.version(), document.encode()));
        }
    }

    private void settings(PeerConnection from, PeerMessage.SettingsPush m) {
        try {
            runtime.settings.offerFromPeer(SettingsDocument.decode(m.document()));
        } catch (SettingsException e) {
            LOG.log(Level.WARNING, "[settings] Peer {0} sent unreadable settings: {1}", from.peer(), e.getMessage());
        }
    }

    private static void reply(PeerConnection to, PeerMessage message) {
        try {
            to.send(message);
        } catch (PeerException e) {
            LOG.log(Level.DEBUG, "[peer] Reply was not sent: {0}", e.getMessage());
        }
    }
}
