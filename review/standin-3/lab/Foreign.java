package lab;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/** Another writer leaves an entry under servers/ in which fields are missing and that names no limit of its slots. */
public final class Foreign {
    private static final int CLIENTS = 9;

    /** Time after which a client that was refused comes again, a fifth of the time that it has. */
    private static final long RETURN_MS = 3_000;

    private Foreign() {}

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
        Engine.Work stream = Work.stream(record);
        Engine.Work prompt = (engine, h, out) -> {
            Thread.sleep(1_200);
            stream.run(engine, h, out);
        };
        site.store.putAsOperator("op/config", Site.configuration(1, Set.of("key-a", "key-b")));
        for (int i = 1; i <= 4; i++) {
            site.engine("i-assist-" + i, Site.MODEL, 11, prompt);
        }
        for (int i = 1; i <= 3; i++) {
            site.engine("i-ledger-" + i, Site.LEDGER, 6, Work.plain(record));
        }
        for (int i = 1; i <= 3; i++) {
            site.instance("edge-" + i);
        }
        site.awaitReady();
        long end = record.nowMs() + 45_000;
        AtomicInteger served = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        // Prompts of 150,000 tokens; the memory of an engine holds one of them, so some wait.
        for (int c = 0; c < CLIENTS; c++) {
            int client = c;
            Thread.ofVirtual().start(() -> {
                for (int n = 0; record.nowMs() < end - 15_000; n++) {
                    Instance to = site.instances.get((client + n) % 3);
                    Client.Answer a = Client.send(record, to.front, Client.newId(), "POST", "/prompts/x", "key-a",
                            "X-Jujuberouter-Model: m\r\nX-Jujuberouter-Token-Usage: 150000,300\r\n"
                                    + String.format("X-Jujuberouter-Prefix-Hash: aa01:40,bb%04x:149960\r\n",
                                            client * 1000 + n),
                            "prompt", 15_000);
                    record.line("client: %s to %s is answered %d, complete %s", a.id(), to.name, a.status(),
                            a.complete());
                    boolean whole = a.status() == 200 && a.complete();
                    (whole ? served : a.status() == 503 ? refused : lost).incrementAndGet();
                    try {
                        Thread.sleep(whole ? 300 : RETURN_MS);
                    } catch (InterruptedException e) {
                        return;
                    }
                }
            });
        }
        Thread.sleep(5_000);
        if (Site.TROUBLE) {
            String entry = site.engines.get(0).entryWithMissingFields(Integer.MAX_VALUE);
            site.store.putAsEngine("servers/i-other-1", entry);
            record.line("another writer writes servers/i-other-1: %s", entry);
        }
        Map<String, Integer> ends = new HashMap<>();
        while (record.nowMs() < end) {
            for (int i = 0; i < site.instances.size(); i++) {
                Instance instance = site.instances.get(i);
                if (!instance.isAlive()) {
                    ends.merge(instance.name, 1, Integer::sum);
                    record.line("%s has ended by itself, with code %d; it is started again", instance.name,
                            instance.exitCode());
                    site.restart(i);
                }
            }
            Thread.sleep(100);
        }
        long machines = ends.values().stream().filter(n -> n >= 3).count();
        record.say("processes that ended by themselves: %s; prompts: %d served, %d refused, %d lost", ends,
                served.get(), refused.get(), lost.get());
        if (served.get() == 0) {
            return 2;
        }
        return machines >= 2 ? 1 : 0;
    }
}
