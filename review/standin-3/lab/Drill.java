package lab;

import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/** A key is taken away after the store has come back from a copy that is some seconds old. */
public final class Drill {
    private static final long AWAY_MS = 1_000;
    private static final long COPY_AGE_MS = 4_000;

    private Drill() {}

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
        site.store.putAsOperator("op/config", Site.configuration(1, Set.of("key-a", "key-b")));
        for (int i = 1; i <= 3; i++) {
            site.engine("i-ledger-" + i, Site.LEDGER, 6, Work.plain(record));
        }
        for (int i = 1; i <= 9; i++) {
            site.engine("i-assist-" + i, Site.MODEL, 11, Work.stream(record));
        }
        for (int i = 1; i <= 3; i++) {
            site.instance("edge-" + i);
        }
        site.awaitReady();
        Thread.sleep(COPY_AGE_MS);
        String second = Site.configuration(2, Set.of("key-a", "key-b"));
        site.store.putAsOperator("op/config", second);
        Thread.sleep(1_000);
        if (Site.TROUBLE) {
            site.store.drill(AWAY_MS, COPY_AGE_MS);
        } else {
            Thread.sleep(AWAY_MS);
        }
        // What the operator and the engines wrote is written again.
        site.store.putAsOperator("op/config", second);
        site.engines.forEach(Engine::writeEntry);
        Thread.sleep(500);
        long acknowledged = site.store.putAsOperator("op/config", Site.configuration(3, Set.of("key-b")));
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger ranWithdrawn = new AtomicInteger();
        long end = record.nowMs() + 25_000;
        while (record.nowMs() < end) {
            for (Instance i : site.instances) {
                for (String key : new String[] {"key-a", "key-b"}) {
                    String id = Client.newId();
                    Client.Answer a =
                            Client.send(record, i.front, id, "GET", "/read/x", key, "", "", 4_000);
                    boolean late = a.sentMs() > acknowledged + Site.REVOKE_MS;
                    record.line("client: %s with %s to %s is answered %d, sent %d ms after the acknowledgement",
                            id, key, i.name, a.status(), a.sentMs() - acknowledged);
                    if (key.equals("key-b")) {
                        served.addAndGet(a.status() == 200 ? 1 : 0);
                    } else if (late) {
                        sent.incrementAndGet();
                        ranWithdrawn.addAndGet(Work.RUN.containsKey(id) ? 1 : 0);
                    }
                }
            }
            Thread.sleep(200);
        }
        record.say("%d requests with the key that was taken away were sent later than %d ms after the acknowledgement;"
                + " %d ran; %d requests with the other key were served", sent.get(), Site.REVOKE_MS,
                ranWithdrawn.get(), served.get());
        if (served.get() == 0) {
            return 2;
        }
        return ranWithdrawn.get() > 0 ? 1 : 0;
    }
}
