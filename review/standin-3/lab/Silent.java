package lab;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** The open connections to the store go silent for good, and an engine leaves without a word. */
public final class Silent {
    private record Sent(String id, String instance, long atMs) {}

    private Silent() {}

    /** Runs the case and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    public static void main(String[] args) throws Exception {
        int result = 2;
        try (Site site = new Site(args[0])) {
            result = run(site);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private static int run(Site site) throws Exception {
        Record record = site.record;
        Map<String, Long> atLeaving = new ConcurrentHashMap<>();
        Engine.Work plain = Work.plain(record);
        Engine.Work leaving = (engine, h, out) -> {
            atLeaving.put(h.header("X-Jujuberouter-Attempt-Id"), record.nowMs());
            plain.run(engine, h, out);
        };
        site.store.putAsOperator("op/config", Site.configuration(1, java.util.Set.of("key-a", "key-b")));
        // The engines write their entries at different times.
        Engine gone = site.engine("i-ledger-1", Site.LEDGER, 6, leaving);
        Thread.sleep(100);
        site.engine("i-ledger-2", Site.LEDGER, 6, plain);
        Thread.sleep(100);
        site.engine("i-ledger-3", Site.LEDGER, 6, plain);
        for (int i = 1; i <= 9; i++) {
            Thread.sleep(100);
            site.engine("i-assist-" + i, Site.MODEL, 11, Work.stream(record));
        }
        for (int i = 1; i <= 3; i++) {
            site.instance("edge-" + i);
        }
        site.awaitReady();
        List<Sent> sent = new CopyOnWriteArrayList<>();
        long end = record.nowMs() + 11_000;
        for (Instance i : site.instances) {
            Thread.ofVirtual().start(() -> {
                while (record.nowMs() < end) {
                    Thread.ofVirtual().start(() -> {
                        String id = Client.newId();
                        Client.Answer a =
                                Client.send(record, i.front, id, "GET", "/read/x", "key-a", "", "", 4_000);
                        sent.add(new Sent(id, i.name, a.sentMs()));
                        record.line("client: %s to %s, sent at %d, is answered %d", id, i.name, a.sentMs(), a.status());
                    });
                    try {
                        Thread.sleep(25);
                    } catch (InterruptedException e) {
                        return;
                    }
                }
            });
        }
        Thread.sleep(3_000);
        long silence = record.nowMs();
        if (Site.TROUBLE) {
            for (Proxy p : site.proxies) {
                record.line("%d open connections to the store go silent", p.silenceOpenConnections());
            }
        }
        Thread.sleep(100);
        gone.leave();
        long acknowledged = record.nowMs();
        Thread.sleep(Math.max(0, end + 1_500 - record.nowMs()));
        long allowed = Math.max(acknowledged + Site.DRAIN_MS, silence + Site.CONTACT_MS);
        int late = 0;
        long last = 0;
        for (Sent s : sent) {
            Long at = atLeaving.get(s.id());
            if (at != null && s.atMs() > allowed && at > allowed) {
                late++;
                last = Math.max(last, at - acknowledged);
                record.line("late: %s, sent to %s at %d, reached the engine %d ms after the acknowledgement and %d ms"
                        + " after the connections went silent", s.id(), s.instance(), s.atMs(), at - acknowledged,
                        at - silence);
            }
        }
        record.say("%d requests sent, %d reached the engine that had left, %d of them late; the last one %d ms after"
                + " the acknowledgement", sent.size(), atLeaving.size(), late, last);
        if (sent.size() < 300 || atLeaving.isEmpty()) {
            return 2;
        }
        return late > 0 ? 1 : 0;
    }
}
