package lab;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** A request crashes each engine that runs it, with its first token, and comes again and again. */
public final class Poison {
    private static final long DOWN_MS = 3_000;

    private Poison() {}

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
        boolean firstToken = !"0".equals(System.getenv("FIRST_TOKEN"));
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
            if (firstToken) {
                Work.beginStream(engine, h, out);
                Work.event(out, 1);
                Thread.sleep(5);
            }
            crashes.add(record.nowMs());
            engine.crash(DOWN_MS);
        };
        site.store.putAsOperator("op/config", Site.configuration(1, java.util.Set.of("key-a", "key-b")));
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
        long end = record.nowMs() + 45_000;
        int served = 0;
        int broken = 0;
        for (int round = 0; record.nowMs() < end; round++) {
            Instance to = site.instances.get(round % 3);
            String usage = "X-Jujuberouter-Model: m\r\nX-Jujuberouter-Token-Usage: 5000,300\r\n"
                    + "X-Jujuberouter-Prefix-Hash: aa01:40,bb%02x:4960\r\n";
            boolean deadly = round % 4 == 0;
            Client.Answer a = Client.send(record, to.front, Client.newId(), "POST", "/prompts/x", "key-a",
                    String.format(usage, deadly ? 1 : 2 + round % 200),
                    deadly ? "deadly prompt" : "prompt " + round, 10_000);
            record.line("client: %s %s to %s is answered %d, complete %s", a.id(), deadly ? "(deadly)" : "(sound)",
                    to.name, a.status(), a.complete());
            if (!deadly) {
                served += a.status() == 200 && a.complete() ? 1 : 0;
                broken += a.status() == 200 && a.complete() ? 0 : 1;
            }
            Thread.sleep(150);
        }
        long third = crashes.size() < 3 ? Long.MAX_VALUE / 2 : crashes.get(2);
        long late = arrivals.stream().filter(t -> t > third + Site.CONTACT_MS).count();
        record.say("the deadly request reached engines %d times and crashed %d; %d of these later than %d ms after the"
                + " third crash; sound requests: %d served, %d not", arrivals.size(), crashes.size(), late,
                Site.CONTACT_MS, served, broken);
        if (served == 0) {
            return 2;
        }
        return late > 3 ? 1 : 0;
    }
}
