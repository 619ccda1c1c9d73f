import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** RECOVER: all engines crash at once and come back; seconds later all instances are killed and start again. */
public final class CaseRecover {
    private static final String SYSTEM_PROMPT = "5c1e07a2:40";
    private static final int RECOVERY_MS = 12_000;

    public static void main(String[] args) {
        Kit.main(CaseRecover::run);
    }

    private static int run(Kit kit) throws Exception {
        String mode = System.getenv().getOrDefault("TROUBLE", "1");
        boolean crash = !mode.equals("0") && !mode.equals("final");
        boolean fault = !mode.equals("0");
        kit.configure();
        for (int i = 0; i < 8; i++) {
            kit.engine("e" + i, "assist", i % 2 == 0 ? "khon-kaen" : "udon", 11, 16, 40);
        }
        kit.startNodes(2);
        List<Kit.Result> results = new CopyOnWriteArrayList<>();
        double end = kit.seconds() + 47;
        Thread traffic = Thread.ofVirtual().start(() -> traffic(kit, results, end));
        Kit.sleep(10_000);
        if (crash) {
            kit.engines.forEach(Engine::crash);
        }
        Kit.sleep(3_000);
        if (crash) {
            for (Engine e : kit.engines) {
                e.start();
            }
        }
        Kit.sleep(4_000);
        kit.configure();
        double faultAt = kit.seconds();
        if (fault) {
            for (Kit.Node n : kit.nodes) {
                n.kill();
            }
            Kit.sleep(1_000);
            for (Kit.Node n : kit.nodes) {
                n.start();
            }
            for (Kit.Node n : kit.nodes) {
                n.awaitReady(10_000);
            }
        }
        double back = kit.seconds();
        Kit.sleep(RECOVERY_MS);
        double judged = kit.seconds();
        kit.record("RecoveryS is over");
        traffic.join();
        Kit.sleep(3_000);
        long before = results.stream().filter(r -> r.sentAt < faultAt).count();
        long servedBefore = results.stream().filter(r -> r.sentAt < faultAt && r.served()).count();
        long after = results.stream().filter(r -> r.sentAt > judged).count();
        long servedAfter = results.stream().filter(r -> r.sentAt > judged && r.served()).count();
        kit.record("before the final fault: " + servedBefore + " of " + before + " served");
        kit.record(String.format("machines back at %.1f; sent later than %.1f: %d of %d served", back, judged, servedAfter, after));
        results.stream()
                .filter(r -> r.sentAt > judged && !r.served())
                .map(r -> r.status + " " + r.error)
                .distinct()
                .limit(5)
                .forEach(kit::record);
        Kit.check(after > 50 && before > 50, "too few requests");
        Kit.check(servedBefore * 4 >= before, "a quarter was not served before");
        return servedAfter * 4 < after ? 1 : 0;
    }

    private static void traffic(Kit kit, List<Kit.Result> results, double end) {
        int n = 0;
        while (kit.seconds() < end) {
            int i = n++;
            Kit.Node node = kit.nodes.get(i % 2);
            boolean large = i % 4 != 0;
            String parts = SYSTEM_PROMPT + "," + Integer.toHexString(0x10000 + i) + ":" + (large ? 44_960 : 4_960);
            Thread.ofVirtual().start(() -> results.add(large
                    ? kit.stream(node, "/review/" + i, parts, 45_000, 6_000)
                    : kit.stream(node, "/brief/" + i, parts, 5_000, 2_000)));
            Kit.sleep(45);
        }
    }
}
