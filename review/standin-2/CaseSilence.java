import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * LOST: an instance stops while the engines are full. An engine that goes on with the request of a client that has left runs
 * out of memory and preempts its newest request, in the middle of its stream, until there is room again.
 */
public final class CaseSilence {
    private static final long PROMPT = 8_000;
    private static final long OUTPUT = 3_000;
    private static final int EVENTS = 68;
    private static final int GAP_MS = 52;
    /** Room for four requests at an engine; a fifth one fits only while the outputs are short. */
    private static final long MEMORY = 47_000;

    private static final int PATIENCE_MS = 2_000;

    public static void main(String[] args) {
        Kit.main(CaseSilence::run);
    }

    private static int run(Kit kit) throws Exception {
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            engines.add(kit.engine("e" + i, "assist", i == 0 ? "khon-kaen" : "udon", 11, EVENTS, GAP_MS));
            engines.get(i).dropRequests(false);
        }
        kit.limitEngineMemory(MEMORY);
        kit.configure();
        kit.startNodes(2);
        Kit.sleep(2_000);
        Kit.Node stopping = kit.nodes.get(0);
        List<Kit.Result> results = new CopyOnWriteArrayList<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            // The client of the first request leaves after eight events.
            clients.add(send(kit, stopping, i, kit.trouble && i == 0 ? 8 : Integer.MAX_VALUE, results));
            Kit.sleep(10);
        }
        Kit.sleep(600);
        int running = engines.stream().mapToInt(e -> e.running.size()).sum();
        Kit.check(running == 8, "of the eight streams, " + running + " run");
        clients.add(send(kit, stopping, 8, Integer.MAX_VALUE, results));
        Kit.sleep(100);
        double from = kit.seconds();
        if (kit.trouble) {
            stopping.terminate();
        }
        for (Thread t : clients) {
            t.join();
        }
        List<Kit.Result> cut = results.stream()
                .filter(r -> r.status == 200 && !r.complete && !r.error.equals("the client leaves"))
                .toList();
        cut.forEach(r -> kit.record(String.format("cut %.1f s after the SIGTERM: %s", r.endedAt - from, r)));
        Kit.check(cut.stream().noneMatch(r -> r.error.contains("timed out")), "a client's patience ended first");
        Kit.check(cut.stream().allMatch(r -> r.endedAt - from < 6.6), "the last sixth of GraceS had begun");
        kit.record(cut.size() + " of " + results.size() + " streams were cut");
        return cut.isEmpty() ? 0 : 1;
    }

    private static Thread send(Kit kit, Kit.Node node, int n, int maxEvents, List<Kit.Result> results) {
        String parts = "5c1e07a2:40," + Integer.toHexString(0x20000 + n) + ":" + (PROMPT - 40);
        return Thread.ofVirtual().start(
                () -> results.add(kit.stream(node, "/brief/" + n, parts, PROMPT, OUTPUT, PATIENCE_MS, maxEvents)));
    }
}
