package lab;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A server runs a request that may run once and then fails it with 503, without saying that it has not run. */
public final class Refused {
    private Refused() {}

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
        Map<String, Integer> posted = new ConcurrentHashMap<>();
        AtomicInteger count = new AtomicInteger();
        Engine.Work plain = (engine, h, out) -> {
            Work.ran(engine, record, h);
            Thread.sleep(40);
            posted.merge(h.text(), 1, Integer::sum);
            // Two of five requests of one server of three fail after they were carried out.
            if (Site.TROUBLE && engine.id.equals("i-ledger-1") && count.incrementAndGet() % 5 < 2) {
                record.line("engine %s has carried out %s and answers 503", engine.id, h.text());
                Engine.write(out, 503, Engine.identity(h, "s." + engine.id), "the receipt could not be written");
            } else {
                Engine.write(out, 200, Engine.identity(h, "s." + engine.id), "x".repeat(100));
            }
        };
        site.store.putAsOperator("op/config", Site.configuration(1, java.util.Set.of("key-a", "key-b")));
        for (int i = 1; i <= 3; i++) {
            site.engine("i-ledger-" + i, Site.LEDGER, 6, plain);
        }
        for (int i = 1; i <= 3; i++) {
            site.engine("i-assist-" + i, Site.MODEL, 11, Work.stream(record));
        }
        for (int i = 1; i <= 3; i++) {
            site.instance("edge-" + i);
        }
        site.awaitReady();
        int refusedButRan = 0;
        int served = 0;
        for (int n = 0; n < 200; n++) {
            String body = "credit " + n;
            // A client asks once more after an answer that promises that the request has not run.
            for (int attempt = 0; attempt < 2; attempt++) {
                Instance to = site.instances.get((n + attempt) % 3);
                Client.Answer a = Client.send(record, to.front, Client.newId(), "POST", "/post/x", "key-a", "", body,
                        4_000);
                record.line("client: %s \"%s\" to %s is answered %d", a.id(), body, to.name, a.status());
                served += a.status() == 200 ? 1 : 0;
                boolean promises = a.status() == 503 || a.status() == 429 || a.status() == 408 || a.status() == 421;
                if (promises && Work.RUN.containsKey(a.id())) {
                    refusedButRan++;
                }
                if (!promises) {
                    break;
                }
            }
            Thread.sleep(50);
        }
        long twice = posted.values().stream().filter(c -> c > 1).count();
        record.say("%d requests that may run once have run and were answered 503; %d credits were posted twice; %d"
                + " served", refusedButRan, twice, served);
        if (served == 0) {
            return 2;
        }
        return refusedButRan > 0 ? 1 : 0;
    }
}
