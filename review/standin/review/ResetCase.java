package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** An engine answers a long request early and without a length, and breaks one answer in twenty off with a reset. */
final class ResetCase extends Case {
    private static final String KEY = "n2ctnfzs989anu6wsjnb";
    private static final int REQUESTS = 120;

    /** Below MaxBodyBytes, 4,194,304. */
    private static final int REQUEST_BYTES = 4_000_000;

    private static final int ANSWER_BYTES = 4_800;
    private static final int BREAK_EACH = 20;

    public static void main(String[] args) {
        main(new ResetCase(), args);
    }

    private static byte[] answerTo(String attempt) {
        byte[] text = new byte[ANSWER_BYTES];
        byte[] id = Http.bytes(attempt + "\n");
        for (int i = 0; i < text.length; i++) {
            text[i] = id[i % id.length];
        }
        return text;
    }

    private static final class EarlyEngine extends Engine {
        private final AtomicInteger answers = new AtomicInteger();
        private final Map<String, String> brokenOff = new ConcurrentHashMap<>();
        private final boolean breaks;

        EarlyEngine(String id, String zone, boolean breaks, Store store, Record record) throws IOException {
            super(id, "wuno96b", zone, 8_192, store, record);
            this.breaks = breaks;
        }

        @Override
        void answer(Socket s, InputStream in, Http.Head head) throws IOException, InterruptedException {
            String attempt = head.field(ATTEMPT);
            byte[] text = answerTo(attempt);
            boolean breakOff = breaks && answers.incrementAndGet() % BREAK_EACH == 0;
            s.getOutputStream().write(Http.bytes(successHead(head) + "Connection: close\r\n\r\n"));
            s.getOutputStream().write(text, 0, text.length / 2);
            s.getOutputStream().flush();
            Thread.sleep(workMs());
            if (breakOff) {
                brokenOff.put(attempt, "");
                record.line("engine " + id + " resets the connection in the middle of its answer to " + attempt);
                s.setSoLinger(true, 0);
                s.close();
                throw new IOException("broken off");
            }
            // The rest of the long body is read later, as the rules allow.
            readBody(in, head);
            s.getOutputStream().write(text, text.length / 2, text.length - text.length / 2);
            s.getOutputStream().flush();
            s.shutdownOutput();
            throw new IOException("the answer ends with its connection");
        }
    }

    @Override
    int run(Site site, Record record, boolean trouble) throws Exception {
        var config = Site.configuration(7);
        Site.addRoute(config, "/hugo494/", "idempotent", "wuno96b", 2, 10_000);
        Site.addService(config, "wuno96b");
        config.putArray("Tenants").addObject().put("Name", "hule930").putArray("ApiKeys").add(KEY);
        site.store.put("op/config", config.toString());
        List<EarlyEngine> engines = List.of(
                new EarlyEngine("i-7f3a91c1", "khon-kaen", trouble, site.store, record),
                new EarlyEngine("i-7f3a91c2", "udon", false, site.store, record),
                new EarlyEngine("i-7f3a91c3", "korat", false, site.store, record));
        Site.Instance instance = site.start("edge-khon-kaen-1", "127.0.0.2", "khon-kaen");
        site.awaitReady(instance, 1);
        Thread.sleep(1_000);
        int broken = 0;
        int whole = 0;
        for (int i = 0; i < REQUESTS; i++) {
            Client.Result r = Client.send(
                    record, instance.address(), "POST", "/hugo494/2f", KEY, new byte[REQUEST_BYTES], 10_000);
            boolean isWhole = Arrays.equals(r.answer().body(), answerTo(r.id()));
            if (r.answer().status() == 200 && r.answer().complete() && !isWhole) {
                broken++;
                boolean reset = engines.stream().anyMatch(e -> e.brokenOff.containsKey(r.id()));
                record.line("BROKEN: " + r.id() + " is answered with 200 and looks complete, with "
                        + r.answer().body().length + " of " + ANSWER_BYTES + " bytes"
                        + (reset ? "; the engine had reset that connection" : ""));
            }
            whole += isWhole ? 1 : 0;
        }
        record.line(whole + " whole answers, "
                + engines.stream().mapToInt(e -> e.brokenOff.size()).sum() + " broken off by the engine, " + broken
                + " passed on as if they were whole");
        return broken > 0 ? BROKEN : whole < REQUESTS / 2 ? NOT_RUN : HELD;
    }
}
