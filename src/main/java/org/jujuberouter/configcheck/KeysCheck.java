package org.jujuberouter.configcheck;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Finds API keys that several customers share, that are listed twice, or that no call can carry. */
final class KeysCheck implements Check {
    private record Holder(String customer, String path) {}

    @Override
    public void run(CheckedConfiguration configuration, Consumer<Finding> findings) {
        Map<String, Holder> holders = new HashMap<>();
        for (Located<DeclaredCustomer> customer : configuration.customers()) {
            List<String> keys = customer.value().keys();
            String name = customer.value().customer().id().value();
            for (int i = 0; i < keys.size(); i++) {
                String path = customer.location().path(ConfigurationField.API_KEYS, i);
                String key = keys.get(i);
                if (key.isBlank()) {
                    continue;
                }
                if (!key.equals(key.strip())) {
                    findings.accept(Finding.error(
                            path,
                            MaskedKey.of(key),
                            "no white space at either end",
                            "no call matches the key, because white space around the key of a call is removed"));
                }
                Holder earlier = holders.putIfAbsent(key, new Holder(name, path));
                if (earlier != null) {
                    findings.accept(duplicate(path, key, name, earlier));
                }
            }
        }
    }

    private static Finding duplicate(String path, String key, String customer, Holder earlier) {
        boolean shared = !earlier.customer().equals(customer);
        return new Finding(
                shared ? Severity.ERROR : Severity.WARNING,
                path,
                MaskedKey.of(key),
                "unique",
                shared
                        ? "the customer " + earlier.customer() + " has the same key at " + earlier.path()
                        : "the customer has the same key at " + earlier.path());
    }
}
