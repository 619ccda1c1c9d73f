package org.jujuberouter.demo;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.jujuberouter.entry.EntryDaemon;
import org.jujuberouter.entry.EntryOptions;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.standin.EngineServer;
import org.jujuberouter.standin.ListServer;
import org.jujuberouter.standin.PlainServer;
import org.jujuberouter.standin.StoreServer;
import org.jujuberouter.standin.model.EngineSettings;
import org.jujuberouter.standin.model.LoadedModel;
import org.jujuberouter.store.ListedMember;

/** A small site in one process: store, member list, engines, plain services and instances in three failure domains. */
final class DemoSite implements AutoCloseable {
    private static final List<String> DOMAINS = List.of("khon-kaen", "udon", "korat");
    private static final Duration RESTART_DELAY = Duration.ofSeconds(1);
    private static final int MAX_BODY_BYTES = 16 << 20;

    private final List<AutoCloseable> components = new ArrayList<>();
    private final List<EngineServer> engines = new ArrayList<>();
    private final List<PlainServer> ledgers = new ArrayList<>();
    private final List<EntryDaemon> instances = new ArrayList<>();
    private StoreServer store;
    private ListServer memberList;

    private DemoSite() {}

    static DemoSite start(int instanceCount, int engineCount) throws IOException {
        DemoSite site = new DemoSite();
        site.store = site.closeWithSite(StoreServer.start());
        site.memberList = site.closeWithSite(ListServer.start(0, Duration.ofMillis(500)));
        DemoSettings.write(site.store.address(), DOMAINS);
        for (int i = 0; i < engineCount; i++) {
            site.addEngine(i);
        }
        for (int i = 0; i < DOMAINS.size(); i++) {
            PlainServer ledger =
                    site.closeWithSite(PlainServer.start(new InetSocketAddress("127.0.0.1", 0), Duration.ofMillis(5)));
            site.ledgers.add(ledger);
            PlainServer filingDesk =
                    site.closeWithSite(PlainServer.start(new InetSocketAddress("127.0.0.1", 0), Duration.ofMillis(5)));
            site.register("desk-" + i, ListedMember.Role.PLAIN, "filing-desk", filingDesk.address(), DOMAINS.get(i));
            site.register("ledger-" + i, ListedMember.Role.PLAIN, "ledger", ledger.address(), DOMAINS.get(i));
        }
        for (int i = 0; i < instanceCount; i++) {
            site.addInstance(i);
        }
        return site;
    }

    private void addEngine(int i) throws IOException {
        EngineServer engine = closeWithSite(EngineServer.start(
                0, EngineSettings.defaults(), LoadedModel.of(DemoCaller.MODEL, "", ""), RESTART_DELAY, false));
        engines.add(engine);
        String domain = DOMAINS.get(i % DOMAINS.size());
        register("engine-" + i, ListedMember.Role.ENGINE, "assistant", engine.address(), domain);
    }

    private void addInstance(int i) throws IOException {
        InetSocketAddress anyPort = new InetSocketAddress("127.0.0.1", 0);
        EntryDaemon instance = closeWithSite(EntryDaemon.start(new EntryOptions(
                InstanceId.of("entry-" + i),
                FailureDomain.of(DOMAINS.get(i % DOMAINS.size())),
                anyPort,
                anyPort,
                store.address(),
                memberList.address(),
                MAX_BODY_BYTES,
                Duration.ofSeconds(30),
                _ -> {})));
        instances.add(instance);
        register(
                "entry-" + i,
                ListedMember.Role.INSTANCE,
                "",
                "127.0.0.1:" + instance.peerAddress().getPort(),
                DOMAINS.get(i % DOMAINS.size()));
    }

    private void register(String name, ListedMember.Role role, String service, String address, String domain) {
        memberList.put(new ListedMember(name, role, service, address, domain, ListedMember.State.LIVE));
    }

    private <T extends AutoCloseable> T closeWithSite(T component) {
        components.add(component);
        return component;
    }

    List<String> callerAddresses() {
        return instances.stream().map(e -> "127.0.0.1:" + e.address().getPort()).toList();
    }

    List<EngineServer> engines() {
        return engines;
    }

    StoreServer store() {
        return store;
    }

    /** Returns the number of executions of the call with the key, summed over all ledgers. */
    int executions(String key) {
        return ledgers.stream().mapToInt(l -> l.executions(key)).sum();
    }

    PlainServer ledger(int i) {
        return ledgers.get(i);
    }

    @Override
    public void close() throws IOException {
        for (AutoCloseable component : components.reversed()) {
            try {
                component.close();
            } catch (Exception e) {
                throw new IOException("could not close a component of the demo site", e);
            }
        }
    }
}
