package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** The operator takes the keys of the only tenant away. */
final class KeysCase extends Case {
    private static final String FIRST = "n2ctnfzs989anu6wsjnb";
    private static final String SECOND = "anfqasnmgkcuyj8pjbvk";
    private static final String NEVER_GIVEN = "q0000000000000000000";
    private static final long REVOKE_MS = 5_000;

    public static void main(String[] args) {
        main(new KeysCase(), args);
    }

    private static String configuration(long version, List<String> keys) {
        ObjectNode config = Site.configuration(version);
        Site.addRoute(config, "/puxa403/", "non_idempotent", "wuno96b", 1, 2_000);
        Site.addRoute(config, "/hugo494/", "idempotent", "wuno96b", 2, 2_000);
        Site.addService(config, "wuno96b");
        ObjectNode tenant = config.putArray("Tenants").addObject().put("Name", "hule930");
        ArrayNode list = tenant.putArray("ApiKeys");
        keys.forEach(list::add);
        tenant.put("Priority", 1);
        return config.toString();
    }

    @Override
    int run(Site site, Record record, boolean trouble) throws Exception {
        site.store.put("op/config", configuration(7, List.of(FIRST, SECOND)));
        List<Engine> engines = List.of(
                new Engine("i-7f3a91c1", "wuno96b", "khon-kaen", 0, site.store, record),
                new Engine("i-7f3a91c2", "wuno96b", "udon", 0, site.store, record),
                new Engine("i-7f3a91c3", "wuno96b", "korat", 0, site.store, record));
        Site.Instance instance = site.start("edge-khon-kaen-1", "127.0.0.2", "khon-kaen");
        site.awaitReady(instance, 1);
        Thread.sleep(1_000);
        Client.Result before = Client.send(
                record, instance.address(), "POST", "/puxa403/2f", FIRST, Http.bytes("credit 1"), 4_000);
        Client.Result stranger = Client.send(
                record, instance.address(), "POST", "/puxa403/2f", NEVER_GIVEN, Http.bytes("credit 2"), 4_000);
        if (before.answer().status() != 200 || stranger.answer().status() != 401) {
            return NOT_RUN;
        }
        if (trouble) {
            site.store.put("op/config", configuration(9, List.of(SECOND)));
            record.line("acknowledged: version 9 without key " + FIRST);
            Thread.sleep(1_500);
            site.store.put("op/config", configuration(12, List.of()));
            record.line("acknowledged: version 12 without key " + SECOND);
        }
        Thread.sleep(REVOKE_MS + 1_000);
        int broken = 0;
        for (int i = 0; i < 5; i++) {
            for (String key : List.of(FIRST, SECOND, NEVER_GIVEN)) {
                boolean revoked = trouble || key.equals(NEVER_GIVEN);
                Client.Result r = Client.send(
                        record, instance.address(), "POST", "/puxa403/2f", key, Http.bytes("credit"), 4_000);
                boolean ran = engines.stream().anyMatch(e -> e.runs.contains(r.id()));
                if (ran && revoked) {
                    broken++;
                    record.line("BROKEN: " + r.id() + " ran, its key " + key
                            + (key.equals(NEVER_GIVEN) ? " was in no configuration" : " was taken away"));
                } else if (!ran && !revoked) {
                    return NOT_RUN;
                }
            }
            Thread.sleep(200);
        }
        return broken > 0 ? BROKEN : HELD;
    }
}
