package review;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Servers are replaced one after the other; the store turns two of six instances away for a while, and serves them again a
 * moment before each server leaves.
 */
final class DrainCase extends Case {
    private static final String KEY = "n2ctnfzs989anu6wsjnb";
    private static final long DRAIN_MS = 2_000;

    /** How much longer than DrainMs a server that leaves goes on serving: "a little longer". */
    private static final long LITTLE_LONGER_MS = 200;

    private static final long CONTACT_MS = 3_000;

    /** Those that the store turns away, 0.33 of the instances. */
    private static final Set<String> TURNED_AWAY = Set.of("edge-udon-1", "edge-udon-2");

    private static final long TURNED_AWAY_MS = 5_000;
    private static final long SERVED_BEFORE_MS = 1_200;
    private static final int ROUNDS = 4;
    private static final int SERVERS = 9;
    private static final int INSTANCES = 6;
    private static final List<String> ZONES = List.of("khon-kaen", "udon", "korat");

    public static void main(String[] args) {
        main(new DrainCase(), args);
    }

    @Override
    int run(Site site, Record record, boolean trouble) throws Exception {
        var config = Site.configuration(7);
        Site.addRoute(config, "/puxa403/", "non_idempotent", "wuno96b", 1, 2_000);
        Site.addService(config, "wuno96b");
        config.putArray("Tenants").addObject().put("Name", "hule930").putArray("ApiKeys").add(KEY);
        site.store.put("op/config", config.toString());
        Map<String, Long> arrivedMs = new ConcurrentHashMap<>();
        Map<String, String> ranAt = new ConcurrentHashMap<>();
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            engines.add(engine(site, record, "i-7f3a91c" + i, arrivedMs, ranAt));
        }
        List<InetSocketAddress> fronts = new ArrayList<>();
        List<Site.Instance> instances = new ArrayList<>();
        for (int i = 0; i < INSTANCES; i++) {
            String zone = ZONES.get(i % ZONES.size());
            instances.add(site.start("edge-" + zone + "-" + (1 + i / ZONES.size()), "127.0.0." + (2 + i), zone));
        }
        for (Site.Instance i : instances) {
            site.awaitReady(i, INSTANCES);
            fronts.add(i.address());
        }
        Thread.sleep(6_000);
        List<Client.Result> results = new CopyOnWriteArrayList<>();
        ExecutorService clients = Executors.newVirtualThreadPerTaskExecutor();
        boolean[] stop = {false};
        Thread traffic = Thread.ofVirtual().start(() -> {
            for (int n = 0; !stop[0]; n++) {
                InetSocketAddress to = fronts.get(n % fronts.size());
                clients.execute(() -> results.add(
                        Client.send(record, to, "POST", "/puxa403/2f", KEY, Http.bytes("credit"), 4_000)));
                try {
                    Thread.sleep(8);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
        Map<String, Long> left = new ConcurrentHashMap<>();
        Map<String, Long> calm = new ConcurrentHashMap<>();
        for (int round = 0; round < ROUNDS; round++) {
            Thread.sleep(3_000);
            engines.add(engine(site, record, "i-8c02e17" + round, arrivedMs, ranAt));
            if (trouble) {
                record.line("the store answers " + TURNED_AWAY + " with 503");
                site.store.turnAway(TURNED_AWAY);
            }
            Thread.sleep(TURNED_AWAY_MS);
            site.store.turnAway(Set.of());
            long calmMs = record.ms() + (trouble ? CONTACT_MS : 0);
            record.line("the store serves all instances");
            Thread.sleep(SERVED_BEFORE_MS);
            Engine leaving = engines.get(round);
            leaving.deregister();
            left.put(leaving.id, record.ms());
            calm.put(leaving.id, calmMs);
            record.line("the store has accepted that " + leaving.id + " is gone");
            Thread.sleep(DRAIN_MS + LITTLE_LONGER_MS);
            leaving.exit();
            record.line(leaving.id + " exits");
        }
        stop[0] = true;
        traffic.join();
        clients.shutdown();
        clients.awaitTermination(10, TimeUnit.SECONDS);
        int late = 0;
        int lost = 0;
        for (Client.Result r : results) {
            String engine = ranAt.get(r.id());
            if (engine == null || !left.containsKey(engine)) {
                continue;
            }
            long afterMs = arrivedMs.get(r.id()) - left.get(engine);
            if (afterMs > DRAIN_MS && r.sentMs() > calm.get(engine)) {
                late++;
                boolean answered = r.answer().status() == 200;
                lost += answered ? 0 : 1;
                record.line("BROKEN: " + r.id() + " reached " + engine + " " + afterMs
                        + " ms after the store had accepted that it is gone"
                        + (answered ? "" : "; it ran and was lost: " + r.summary()));
            }
        }
        record.line(results.size() + " requests, " + late + " reached a server later than DrainMs after it was gone, "
                + lost + " of these ran there and were lost");
        return late > 0 ? BROKEN : results.size() < 100 ? NOT_RUN : HELD;
    }

    private static Engine engine(
            Site site, Record record, String id, Map<String, Long> arrivedMs, Map<String, String> ranAt)
            throws java.io.IOException {
        return new Engine(id, "wuno96b", "korat", 0, site.store, record) {
            @Override
            void answer(java.net.Socket s, java.io.InputStream in, Http.Head head)
                    throws java.io.IOException, InterruptedException {
                arrivedMs.put(head.field(ATTEMPT), record.ms());
                ranAt.put(head.field(ATTEMPT), id);
                super.answer(s, in, head);
            }
        };
    }
}
