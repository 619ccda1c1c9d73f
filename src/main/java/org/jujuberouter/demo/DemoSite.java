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

/** A small site in one process: store, list, engines and a ledger in three failure domains, and instances. */
final class DemoSite implements AutoCloseable {
    private static final List<String> DOMAINS = List.of("khon-kaen", "udon", "korat");
    private static final Duration RESTART_DELAY = Duration.ofSeconds(1);
    private static final int MAX_BODY_BYTES = 16 << 20;

    private final List<AutoCloseable> parts = new ArrayList<>();
    private final List<EngineServer> engines = new ArrayList<>();
    private final List<PlainServer> ledgers = new ArrayList<>();
    private final List<EntryDaemon> instances = new ArrayList<>();
    private StoreServer store;
    private ListServer list;

    private DemoSite() {}

    static DemoSite start(int instanceCount, int engineCount) throws IOException {
        DemoSite site = new DemoSite();
        site.store = site.own(StoreServer.start());
        site.list = site.own(ListServer.start(0, Duration.ofMillis(500)));
        DemoSettings.write(site.store.address(), DOMAINS);
        for (int i = 0; i < engineCount; i++) {
            site.addEngine(i);
        }
        for (int i = 0; i < DOMAINS.size(); i++) {
            PlainServer ledger =
                    site.own(PlainServer.start(new InetSocketAddress("127.0.0.1", 0), Duration.ofMillis(5)));
            site.ledgers.add(ledger);
            PlainServer desk = site.own(PlainServer.start(new InetSocketAddress("127.0.0.1", 0), Duration.ofMillis(5)));
            site.register("desk-" + i, ListedMember.Role.PLAIN, "filing-desk", desk.address(), DOMAINS.get(i));
            site.register("ledger-" + i, ListedMember.Role.PLAIN, "ledger", ledger.address(), DOMAINS.get(i));
        }
        for (int i = 0; i < instanceCount; i++) {
            site.addInstance(i);
        }
        return site;
    }

    private void addEngine(int i) throws IOException {
        EngineServer engine = own(EngineServer.start(
                0, EngineSettings.defaults(), LoadedModel.of(DemoCaller.MODEL, "", ""), RESTART_DELAY, false));
        engines.add(engine);
        String domain = DOMAINS.get(i % DOMAINS.size());
        register("engine-" + i, ListedMember.Role.ENGINE, "assistant", engine.address(), domain);
    }

    private void addInstance(int i) throws IOException {
        InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        EntryDaemon entry = own(EntryDaemon.start(new EntryOptions(
                InstanceId.of("entry-" + i),
                FailureDomain.of(DOMAINS.get(i % DOMAINS.size())),
                any,
                any,
                store.address(),
                list.address(),
                MAX_BODY_BYTES,
                Duration.ofSeconds(30),
                _ -> {})));
        instances.add(entry);
        register(
                "entry-" + i,
                ListedMember.Role.INSTANCE,
                "",
                "127.0.0.1:" + entry.peerAddress().getPort(),
                DOMAINS.get(i % DOMAINS.size()));
    }

    private void register(String name, ListedMember.Role role, String service, String address, String domain) {
        list.put(new ListedMember(name, role, service, address, domain, ListedMember.State.LIVE));
    }

    private <T extends AutoCloseable> T own(T part) {
        parts.add(part);
        return part;
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

    /** Returns how often the call with the key ran at any ledger. */
    int executions(String key) {
        return ledgers.stream().mapToInt(l -> l.executions(key)).sum();
    }

    PlainServer ledger(int i) {
        return ledgers.get(i);
    }

    @Override
    public void close() throws IOException {
        for (AutoCloseable part : parts.reversed()) {
            try {
                part.close();
            } catch (Exception e) {
                throw new IOException("a part of the site did not close", e);
            }
        }
    }
}
