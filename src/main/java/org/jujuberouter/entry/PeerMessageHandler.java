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

/** Dispatches messages from peers. Runs on the reading thread of the connection and therefore never blocks. */
final class PeerMessageHandler implements PeerListener {
    private static final Logger LOG = System.getLogger(PeerMessageHandler.class.getName());

    private final InstanceRuntime runtime;
    private final Map<InstanceId, FailureDomain> domains = new ConcurrentHashMap<>();

    PeerMessageHandler(InstanceRuntime runtime) {
        this.runtime = runtime;
    }

    @Override
    public void onConnected(Incarnation peer, FailureDomain domain) {
        domains.put(peer.instance(), domain);
    }

    @Override
    public void onMessage(PeerConnection from, PeerMessage message) {
        switch (message) {
            case PeerMessage.Heartbeat m -> onHeartbeat(from.peer(), m);
            case PeerMessage.PermitRequest m -> onPermitRequest(from, m);
            case PeerMessage.PermitStage m -> onPermitStage(m);
            case PeerMessage.PermitRelease m -> onPermitRelease(m);
            case PeerMessage.HolderQuery m ->
                reply(
                        from,
                        new PeerMessage.HolderReport(
                                m.endpoint(),
                                m.queryNanos(),
                                runtime.permitClient.held(m.endpoint()).stream()
                                        .map(p -> PermitMapper.toMessage(p.request(), p.serial()))
                                        .toList()));
            case PeerMessage.HolderReport m -> {
                List<PermitRequest> held = PermitMapper.fromMessage(m.permits(), 0, runtime.ticker).stream()
                        .map(Permit::request)
                        .toList();
                runtime.permitServer.update(
                        m.endpoint(), controller -> controller.holderReport(from.peer(), held, m.queryNanos()));
            }
            case PeerMessage.Handover m -> onHandover(m);
            case PeerMessage.CrashNotice m -> runtime.mergeCrashNotice(m);
            case PeerMessage.ClearNotice m ->
                runtime.evidence.merge(new ClearNotice(
                        m.fingerprint(), new HashSet<>(m.crashIds()), Duration.ofMillis(m.ageMillis())));
            case PeerMessage.RunRequest m -> reply(from, runtime.arbiterClient.onRunRequest(m));
            case PeerMessage.RunEnded m -> runtime.arbiterClient.onRunEnded(m);
            case PeerMessage.SettingsPull m -> onSettingsPull(from, m);
            case PeerMessage.SettingsPush m -> onSettingsPush(from, m);
            // Gateway messages are exchanged only between gateway instances.
            case PeerMessage.GatewayMessage _, PeerMessage.Hello _, PeerMessage.Reply _ -> {
                // The connection handles Hello and Reply itself; a reply that arrives here was too late.
            }
        }
    }

    private void onHeartbeat(Incarnation sender, PeerMessage.Heartbeat m) {
        FailureDomain domain = domains.get(sender.instance());
        if (domain == null) {
            return;
        }
        runtime.membership.heartbeatReceived(sender, domain, "", m.leaving());
        runtime.settings.observePeer(sender.instance(), m.settingsVersion());
        runtime.limits.receive(sender.instance(), LimitMapper.fromMessage(m.demand()));
        m.endpoints().forEach(digest -> {
            runtime.ownership.hint(digest.endpoint(), Optional.of(sender.instance()));
            runtime.directory.applyDigest(digest);
        });
    }

    private void onPermitRequest(PeerConnection from, PeerMessage.PermitRequest m) {
        if (!(m.target() instanceof PeerMessage.EndpointTarget target)) {
            reply(from, refusal(m));
            return;
        }
        PermitMapper.fromMessage(m, from.peer(), runtime.ticker)
                .ifPresentOrElse(
                        request -> runtime.permitServer
                                .request(target.endpoint(), request)
                                .thenAccept(decision -> reply(
                                        from,
                                        new PeerMessage.PermitReply(
                                                m.callId(),
                                                PermitMapper.toMessage(
                                                        target.endpoint(),
                                                        decision,
                                                        runtime.crashId(target.endpoint()))))),
                        () -> reply(from, refusal(m)));
    }

    private static PeerMessage.PermitReply refusal(PeerMessage.PermitRequest m) {
        Decision notReporting = new Decision.Refused(new Refusal.NotReporting());
        return new PeerMessage.PermitReply(m.callId(), PermitMapper.toMessage(EndpointId.of("none"), notReporting, ""));
    }

    private void onPermitStage(PeerMessage.PermitStage m) {
        switch (m.stage()) {
            case STARTED -> runtime.permitServer.started(m.endpoint(), m.request());
            case PREFILLED -> runtime.permitServer.prefillDone(m.endpoint(), m.request());
            default -> throw new IllegalStateException("unknown stage " + m.stage());
        }
    }

    private void onPermitRelease(PeerMessage.PermitRelease m) {
        if (m.fencingNumber() == 0) {
            runtime.permitServer.withdraw(m.endpoint(), m.request());
            return;
        }
        PermitRef permit = new PermitRef(m.request(), m.fencingNumber(), m.permitId());
        PermitEnd end = PermitMapper.fromMessage(m.reason());
        runtime.permitServer.release(m.endpoint(), permit, end);
        if (end == PermitEnd.FAILED) {
            runtime.pollNow(m.endpoint());
        }
    }

    private void onHandover(PeerMessage.Handover m) {
        List<Permit> permits = PermitMapper.fromMessage(m.permits(), m.fencingNumber(), runtime.ticker);
        runtime.permitServer.update(m.endpoint(), controller -> controller.handover(m.fencingNumber(), permits));
        runtime.ownership.onHandover(m.endpoint());
    }

    private void onSettingsPull(PeerConnection to, PeerMessage.SettingsPull m) {
        SettingsDocument document = runtime.settings.document();
        if (document.version() > m.version()) {
            reply(to, new PeerMessage.SettingsPush(document.version(), document.encode()));
        }
    }

    private void onSettingsPush(PeerConnection from, PeerMessage.SettingsPush m) {
        try {
            runtime.settings.updateFromPeer(SettingsDocument.decode(m.document()));
        } catch (SettingsException e) {
            LOG.log(Level.WARNING, "[settings] Peer {0} sent invalid settings: {1}", from.peer(), e.getMessage());
        }
    }

    private static void reply(PeerConnection to, PeerMessage message) {
        try {
            to.send(message);
        } catch (PeerException e) {
            LOG.log(Level.DEBUG, "[peer] Failed to send a reply: {0}", e.getMessage());
        }
    }
}
