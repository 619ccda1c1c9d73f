import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** BUDGET: a server asks for a pause with Retry-After; its entry in the store then ends and comes back. */
public final class CasePause {
    private static final int PAUSE_S = 20;
    private static final int CUT_MS = 5_000;

    private final Kit kit;
    private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    private volatile Engine full;
    private volatile double pausedAt;

    private record Arrival(Engine engine, String attempt, double at) {}

    private CasePause(Kit kit) {
        this.kit = kit;
    }

    public static void main(String[] args) {
        Kit.main(kit -> new CasePause(kit).run());
    }

    private int run() throws Exception {
        for (int i = 0; i < 5; i++) {
            kit.engine("s" + i, "ledger", i % 2 == 0 ? "khon-kaen" : "udon", 6, 0, 86).behave(new Engine.Behaviour() {
                @Override
                public boolean arrives(Engine engine, Engine.Call call) throws IOException {
                    return arrived(engine, call);
                }
            });
        }
        kit.configure();
        kit.startNodes(1);
        Kit.Node node = kit.nodes.get(0);
        List<Kit.Result> results = new CopyOnWriteArrayList<>();
        double end = kit.seconds() + 32;
        Thread traffic = Thread.ofVirtual().start(() -> {
            for (int i = 0; kit.seconds() < end; i++) {
                int n = i;
                Thread.ofVirtual().start(() -> results.add(kit.send(node, "GET", "/balance/" + n, "", "", 4_000, 4_000)));
                Kit.sleep(60);
            }
        });
        Kit.sleep(4_000);
        // The server with most of the requests becomes full.
        full = kit.engines.stream()
                .max((a, b) -> Long.compare(count(a), count(b)))
                .orElseThrow();
        Kit.sleep(1_000);
        if (kit.trouble) {
            full.reachStore(false);
            Kit.sleep(CUT_MS);
            full.reachStore(true);
        }
        traffic.join();
        Kit.sleep(1_000);
        Kit.check(pausedAt > 0, "the full server was not asked");
        List<Arrival> early = arrivals.stream()
                .filter(a -> a.engine == full && a.at > pausedAt + 0.5 && a.at < pausedAt + PAUSE_S)
                .toList();
        kit.record(String.format(
                "Retry-After: %d was answered at %.3f; %d requests reached %s from 0.5 s later until its end",
                PAUSE_S, pausedAt, early.size(), full.id()));
        early.stream().limit(5).forEach(a -> kit.record(String.format("  %s at %.3f", a.attempt, a.at)));
        kit.record(results.stream().filter(Kit.Result::served).count() + " of " + results.size() + " requests were served");
        return early.size() > 2 ? 1 : 0;
    }

    private long count(Engine engine) {
        return arrivals.stream().filter(a -> a.engine == engine).count();
    }

    private boolean arrived(Engine engine, Engine.Call call) throws IOException {
        arrivals.add(new Arrival(engine, call.attempt, kit.seconds()));
        if (engine != full) {
            return false;
        }
        boolean first;
        synchronized (this) {
            first = pausedAt == 0;
            pausedAt = first ? kit.seconds() : pausedAt;
        }
        engine.notRun(call, first ? "Retry-After: " + PAUSE_S + "\r\n" : "");
        return true;
    }
}
