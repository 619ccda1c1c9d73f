package lab;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;

/** A request crashes each engine that begins to run it, and comes again at all machines at the same moment. */
public final class Copies {
    private static final long DOWN_MS = 3_000;
    private static final long AGAIN_MS = 4_500;
    private static final String HEADERS = "X-Jujuberouter-Model: m\r\nX-Jujuberouter-Token-Usage: 5000,300\r\n"
            + "X-Jujuberouter-Prefix-Hash: aa01:40,bb%04x:4960\r\n";

    private Copies() {}

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
        List<Long> arrivals = Collections.synchronizedList(new ArrayList<>());
        List<Long> crashes = Collections.synchronizedList(new ArrayList<>());
        Engine.Work sound = Work.stream(record);
        Engine.Work work = (engine, h, out) -> {
            if (!h.text().startsWith("deadly") || !Site.TROUBLE) {
                sound.run(engine, h, out);
                return;
            }
            arrivals.add(record.line("engine %s runs the deadly request %s", engine.id,
                    h.header("X-Jujuberouter-Attempt-Id")));
            Thread.sleep(30);
            crashes.add(record.nowMs());
            engine.crash(DOWN_MS);
        };
        site.store.putAsOperator("op/config", Site.configuration(1, Set.of("key-a", "key-b")));
        for (int i = 1; i <= 8; i++) {
            site.engine("i-assist-" + i, Site.MODEL, 11, work);
        }
        for (int i = 1; i <= 3; i++) {
            site.engine("i-ledger-" + i, Site.LEDGER, 6, Work.plain(record));
        }
        for (int i = 1; i <= 3; i++) {
            site.instance("edge-" + i);
        }
        site.awaitReady();
        long end = record.nowMs() + 30_000;
        int served = 0;
        int notServed = 0;
        for (int round = 0; record.nowMs() < end; round++) {
            for (Instance to : site.instances) {
                Thread.ofVirtual().start(() -> {
                    Client.Answer a = Client.send(record, to.front, Client.newId(), "POST", "/prompts/x", "key-a",
                            String.format(HEADERS, 1), "deadly prompt", 10_000);
                    record.line("client: %s (deadly) to %s is answered %d, complete %s", a.id(), to.name, a.status(),
                            a.complete());
                });
            }
            long next = record.nowMs() + AGAIN_MS;
            for (int n = 0; record.nowMs() < next; n++) {
                Thread.sleep(300);
                Client.Answer a = Client.send(record, site.instances.get(n % 3).front, Client.newId(), "POST",
                        "/prompts/x", "key-a", String.format(HEADERS, 2 + 100 * round + n), "prompt " + n, 10_000);
                boolean whole = a.status() == 200 && a.complete();
                record.line("client: %s (sound) is answered %d, complete %s", a.id(), a.status(), a.complete());
                served += whole ? 1 : 0;
                notServed += whole ? 0 : 1;
            }
        }
        long third = crashes.size() < 3 ? Long.MAX_VALUE / 2 : crashes.get(2);
        long late = arrivals.stream().filter(t -> t > third + Site.CONTACT_MS).count();
        record.say("the deadly request reached engines %d times and crashed %d; %d of these later than %d ms after the"
                + " third crash; sound requests: %d served, %d not", arrivals.size(), crashes.size(), late,
                Site.CONTACT_MS, served, notServed);
        if (served == 0) {
            return 2;
        }
        return late > 3 ? 1 : 0;
    }
}
