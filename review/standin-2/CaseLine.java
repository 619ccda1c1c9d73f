import java.util.ArrayList;
import java.util.List;

/** DENIED: requests whose head is within MaxHeaderBytes, with a request line of more than half of that. */
public final class CaseLine {
    private static final int LONG_LINE = 9_000;
    private static final int SHORT_LINE = 7_000;
    private static final int REQUESTS = 200;

    public static void main(String[] args) {
        Kit.main(CaseLine::run);
    }

    private static int run(Kit kit) throws Exception {
        for (int i = 0; i < 3; i++) {
            kit.engine("s" + i, "ledger", i % 2 == 0 ? "khon-kaen" : "udon", 6, 0, 20);
        }
        kit.configure();
        kit.startNodes(2);
        Kit.sleep(4_000);
        List<Kit.Result> results = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            int bytes = i % 10 == 0 ? (kit.trouble ? LONG_LINE : SHORT_LINE) : 100;
            String path = "/balance/" + i + "?members=";
            results.add(kit.send(
                    kit.nodes.get(i % 2), "GET", path + "1".repeat(bytes - path.length()), "", "", 4_000, 4_000));
        }
        long denied = results.stream()
                .filter(r -> r.status / 100 == 3 || r.status / 100 == 4)
                .filter(r -> r.status != 408 && r.status != 421 && r.status != 429)
                .count();
        kit.record(denied + " of " + results.size() + " requests were denied");
        return denied > 5 + REQUESTS / 500.0 ? 1 : 0;
    }
}
