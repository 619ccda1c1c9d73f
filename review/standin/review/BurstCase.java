package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A service of long prompts gets 2.7 times its traffic for a while; afterwards the traffic is light. */
final class BurstCase extends Case {
    private static final String KEY = "n2ctnfzs989anu6wsjnb";
    private static final List<String> ZONES = List.of("khon-kaen", "udon", "korat");
    private static final int ENGINES = 23;
    private static final int BODY_BYTES = 4_000_000;
    private static final int PROMPT_TOKENS = 180_000;

    /** 180,000 tokens at 206 tokens a ms, and 0.138 ms for each million pairs of tokens. */
    private static final long PREFILL_MS = 3_109;

    private static final double USUAL_PER_S = Double.parseDouble(System.getProperty("rate", "4"));
    private static final double BURST_X = 2.7;
    private static final long BURST_MS = 9_500;
    private static final int BURSTS = 3;
    private static final long CONTACT_MS = 3_000;

    /** Time after a burst for which the rules may count a machine as slowed. */
    private static final long CHOKED_MS = 5_000;

    private static final long TIMEOUT_MS = 2_000;
    private static final int LATER_REQUESTS = 10;

    public static void main(String[] args) {
        main(new BurstCase(), args);
    }

    /** A model engine: reads one prompt after the other, in even parts if helpers are listed, then sends 16 events. */
    private static final class ModelEngine extends Engine {
        private final Object prefill = new Object();

        ModelEngine(String id, String zone, Store store, Record record) throws IOException {
            super(id, "huvo11a", zone, 0, store, record);
        }

        @Override
        int slots() {
            return 11;
        }

        @Override
        void answer(Socket s, InputStream in, Http.Head head) throws IOException, InterruptedException {
            readBody(in, head);
            String helpers = head.field("X-Jujuberouter-Helpers");
            int parts = helpers.isEmpty() ? 1 : 1 + helpers.split(",").length;
            synchronized (prefill) {
                Thread.sleep(PREFILL_MS / parts);
            }
            String after = head.field("Last-Event-Id");
            OutputStream out = s.getOutputStream();
            out.write(Http.bytes(successHead(head)
                    + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
            for (int i = after.isEmpty() ? 1 : Integer.parseInt(after) + 1; i <= 16; i++) {
                String event = "id: " + i + "\ndata: " + "x".repeat(50) + "\n\n";
                out.write(Http.bytes(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n"));
                out.flush();
                Thread.sleep(45);
            }
            out.write(Http.bytes("0\r\n\r\n"));
            out.flush();
        }
    }

    private static String configuration() throws IOException {
        ObjectNode config = Site.configuration(7);
        Site.addRoute(config, "/hugo494/", "idempotent", "wuno96b", 2, TIMEOUT_MS);
        Site.addService(config, "wuno96b");
        ((ArrayNode) config.get("Routes"))
                .addObject()
                .put("Name", "r-lohu930")
                .put("Host", Site.HOST)
                .put("Prefix", "/lohu930/")
                .put("Type", "streaming")
                .put("TimeoutMs", 15_000)
                .put("TargetLatencyMs", 2_500)
                .put("Priority", 1)
                .put("Service", "huvo11a")
                .put("MaxAttempts", 2)
                .put("Public", false)
                .put("SessionAffinity", true)
                .put("StreamResume", true)
                .put("TargetGapMs", 1_000);
        ObjectNode service = ((ArrayNode) config.get("Services"))
                .addObject()
                .put("Name", "huvo11a")
                .put("HealthCheck", "/health")
                .put("MaxConnections", 304)
                .put("ColdStartS", 3.0)
                .put("ColdPerS", 26.0);
        service.putObject("Engine")
                .put("Slots", 11)
                .put("KvCapacityTokens", 232_000)
                .put("Stride", 43)
                .put("step_ms", 1.02)
                .put("per_seq_ms", 0.0033)
                .put("context_per_k", 0.00431)
                .put("read_per_s", 206_000.0)
                .put("pairs_per_m", 0.138)
                .put("chunk", 2_048);
        config.putArray("Tenants").addObject().put("Name", "hule930").putArray("ApiKeys").add(KEY);
        return config.toString();
    }

    /** Sends long prompts at a steady rate. */
    private static void sendPrompts(Site.Instance instance, Record record, double perS, long forMs)
            throws InterruptedException {
        record.line(perS + " prompts a second of " + BODY_BYTES + " bytes for " + forMs + " ms");
        ExecutorService clients = Executors.newVirtualThreadPerTaskExecutor();
        String fields = "X-Jujuberouter-Model: m\r\nX-Jujuberouter-Token-Usage: " + PROMPT_TOKENS + ",690\r\n";
        long start = System.nanoTime();
        for (int n = 0; n / perS * 1_000 < forMs; n++) {
            long waitMs = Math.round(n / perS * 1_000) - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
            if (waitMs > 0) {
                Thread.sleep(waitMs);
            }
            clients.execute(() -> {
                Client.Result r = Client.send(
                        record,
                        instance.address(),
                        "POST",
                        "/lohu930/2f",
                        KEY,
                        fields,
                        new byte[BODY_BYTES],
                        15_000,
                        0,
                        16_384,
                        size -> {});
                (r.answer().complete() && r.answer().status() == 200 ? ANSWERED : OTHERS).incrementAndGet();
            });
        }
    }

    private static final AtomicInteger ANSWERED = new AtomicInteger();
    private static final AtomicInteger OTHERS = new AtomicInteger();

    @Override
    int run(Site site, Record record, boolean trouble) throws Exception {
        site.store.put("op/config", configuration());
        for (int i = 0; i < ENGINES; i++) {
            new ModelEngine("i-7f3a91" + i, ZONES.get(i % ZONES.size()), site.store, record);
        }
        for (String zone : ZONES) {
            new Engine("i-8c02e1-" + zone, "wuno96b", zone, 0, site.store, record);
        }
        Site.Instance instance = site.start("edge-khon-kaen-1", "127.0.0.2", "khon-kaen");
        site.awaitReady(instance, 1);
        Thread.sleep(1_000);
        sendPrompts(instance, record, USUAL_PER_S, 6_000);
        for (int i = 0; i < BURSTS && site.isReady(instance); i++) {
            sendPrompts(instance, record, trouble ? USUAL_PER_S * BURST_X : USUAL_PER_S, BURST_MS);
            sendPrompts(instance, record, USUAL_PER_S, 2_000);
        }
        Thread.sleep(CHOKED_MS + CONTACT_MS + 1_000);
        record.line("answered in full: " + ANSWERED + ", others: " + OTHERS + "; ready: " + site.isReady(instance));
        int unansweredAtTimeout = 0;
        int unansweredLater = 0;
        for (int i = 0; i < LATER_REQUESTS; i++) {
            long start = System.nanoTime();
            Client.Result r = Client.send(
                    record, instance.address(), "GET", "/hugo494/2f", KEY, new byte[0], TIMEOUT_MS + 500);
            long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
            if (r.answer().head() == null || tookMs > TIMEOUT_MS) {
                unansweredAtTimeout++;
                unansweredLater += r.answer().head() == null || tookMs > TIMEOUT_MS + 500 ? 1 : 0;
            }
        }
        boolean ready = site.isReady(instance);
        record.line("process alive: " + instance.process().isAlive() + ", ready: " + ready + "; of " + LATER_REQUESTS
                + " later requests " + unansweredAtTimeout + " were unanswered at the route's TimeoutMs, "
                + unansweredLater + " of these half a second later");
        if (!ready) {
            site.signal(instance, "QUIT");
            Thread.sleep(500);
            Files.readString(instance.log())
                    .lines()
                    .filter(l -> l.contains("Exception in thread"))
                    .forEach(l -> record.line("log: " + l));
        }
        return unansweredLater >= 8 && unansweredLater * 2 > unansweredAtTimeout ? BROKEN : HELD;
    }
}
