import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** BUDGET: a request crashes each engine that begins to run it, right after its first event. */
public final class CasePoison {
    private static final String DEADLY = "/review/deadly";
    private static final int CONTACT_MS = 3_000;

    public static void main(String[] args) {
        Kit.main(CasePoison::run);
    }

    private static int run(Kit kit) throws Exception {
        kit.configure();
        List<Double> arrivals = new CopyOnWriteArrayList<>();
        List<Double> crashes = new CopyOnWriteArrayList<>();
        Engine.Behaviour behaviour = new Engine.Behaviour() {
            @Override
            public boolean arrives(Engine engine, Engine.Call call) {
                if (call.path().equals(DEADLY)) {
                    arrivals.add(kit.seconds());
                }
                return false;
            }

            @Override
            public void afterEvent(Engine engine, Engine.Call call, int event) throws IOException {
                if (kit.trouble && call.path().equals(DEADLY)) {
                    // Lets the bytes of the event leave, which a reset would discard.
                    Kit.sleep(30);
                    crashes.add(kit.seconds());
                    engine.crash();
                    Thread.ofVirtual().start(() -> restart(engine));
                    throw new IOException("crashed");
                }
            }
        };
        for (int i = 0; i < 6; i++) {
            kit.engine("e" + i, "assist", i % 2 == 0 ? "khon-kaen" : "udon", 11, 16, 40).behave(behaviour);
        }
        kit.startNodes(2);
        List<Kit.Result> sound = new CopyOnWriteArrayList<>();
        double end = kit.seconds() + 50;
        Thread traffic = Thread.ofVirtual().start(() -> traffic(kit, sound, end));
        int sent = 0;
        while (kit.seconds() < end) {
            Kit.Node node = kit.nodes.get(sent++ % 2);
            Thread.ofVirtual().start(() -> kit.stream(node, DEADLY, "5c1e07a2:40,dead:4960", 5_000, 6_000));
            Kit.sleep(4_000);
        }
        traffic.join();
        Kit.sleep(2_000);
        kit.record("the deadly request was sent " + sent + " times, reached engines " + arrivals.size() + " times and crashed "
                + crashes.size());
        long served = sound.stream().filter(Kit.Result::served).count();
        kit.record(served + " of " + sound.size() + " sound requests were served");
        if (crashes.size() < 3) {
            Kit.check(!kit.trouble, "fewer than three crashes");
            return 0;
        }
        double from = crashes.get(2) + CONTACT_MS / 1000.0;
        long late = arrivals.stream().filter(a -> a > from).count();
        kit.record(String.format("arrivals later than ContactMs after the third crash (%.1f): %d", from, late));
        return late > 3 ? 1 : 0;
    }

    private static void restart(Engine engine) {
        Kit.sleep(3_000);
        try {
            engine.start();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static void traffic(Kit kit, List<Kit.Result> results, double end) {
        for (int i = 0; kit.seconds() < end; i++) {
            int n = i;
            String parts = "5c1e07a2:40," + Integer.toHexString(0x30000 + n) + ":4960";
            Thread.ofVirtual().start(
                    () -> results.add(kit.stream(kit.nodes.get(n % 2), "/brief/" + n, parts, 5_000, 2_000)));
            Kit.sleep(200);
        }
    }
}
