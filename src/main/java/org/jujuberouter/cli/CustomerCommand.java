package org.jujuberouter.cli;

import com.fasterxml.jackson.databind.node.TextNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.settings.EffectiveValue;
import org.jujuberouter.settings.SettingTarget;
import org.jujuberouter.settings.Settings;
import org.jujuberouter.settings.SettingsChange;
import org.jujuberouter.settings.SettingsDocument;
import org.jujuberouter.settings.SettingsEditor;
import org.jujuberouter.settings.SettingsException;
import org.jujuberouter.settings.SettingsSchema;
import org.jujuberouter.store.PlatformException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Creates, lists and deletes customers. */
@Command(
        name = "customer",
        mixinStandardHelpOptions = true,
        subcommands = {CustomerCommand.Create.class, CustomerCommand.Show.class, CustomerCommand.Delete.class},
        description = "Creates, lists and deletes customers.")
final class CustomerCommand extends GroupCommand {
    /** Creates a customer. */
    @Command(
            name = "create",
            description = "Creates a customer. Without --key-hash a new API key is made and shown once.")
    static final class Create extends ChangeCommand {
        private static final int KEY_BYTES = 32;

        @Parameters(paramLabel = "ID", description = "The id of the customer.")
        private String id;

        @Option(names = "--key-hash", paramLabel = "HEX", description = "SHA-256 of an existing API key.")
        private String keyHash;

        @Option(names = "--weight", paramLabel = "NUMBER", description = "Share when capacity is short.")
        private String weight;

        private String key;

        @Override
        Optional<SettingsChange> build(SettingsDocument current, SettingsChange change) throws RefusedException {
            SettingTarget target = new SettingTarget.Customer(CustomerId.of(id));
            if (current.values().containsKey(target.path(SettingsSchema.KEY_HASH))) {
                throw RefusedException.of("customer \"" + id + "\" exists already");
            }
            if (keyHash == null) {
                byte[] random = new byte[KEY_BYTES];
                new SecureRandom().nextBytes(random);
                key = Base64.getUrlEncoder().withoutPadding().encodeToString(random);
                keyHash = sha256(key);
            }
            SettingsChange all = change.set(target.path(SettingsSchema.KEY_HASH), TextNode.valueOf(keyHash));
            String path = target.path("weight");
            return Optional.of(weight == null ? all : all.set(path, Values.parse(path, weight)));
        }

        @Override
        void printDetails(Map<String, Object> json) {
            if (key == null) {
                return;
            }
            json.put("apiKey", key);
            if (!isJson()) {
                print("API key (not shown again): " + key);
            }
        }

        @Override
        String defaultSummary() {
            return "create customer " + id;
        }

        private static String sha256(String text) {
            try {
                byte[] hash = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
                return HexFormat.of().formatHex(hash);
            } catch (NoSuchAlgorithmException e) {
                throw new IllegalStateException("this JDK has no SHA-256", e);
            }
        }
    }

    /** Lists the customers. */
    @Command(name = "list", description = "Lists the customers with the weight and limits in force.")
    static final class Show extends StoreCommand {
        private static final List<String> SHOWN =
                List.of("weight", "limits.requests-per-second", "limits.tokens-per-second", "limits.long-prompts");

        @Override
        int run(SettingsEditor editor) throws PlatformException, SettingsException {
            Settings settings = Settings.of(editor.read());
            List<Map<String, Object>> rows = new ArrayList<>();
            for (CustomerId c : settings.customers()) {
                Map<String, Object> row = new LinkedHashMap<>();
                row.put("customer", c.value());
                for (String name : SHOWN) {
                    Optional<EffectiveValue> value = settings.effective(new SettingTarget.Customer(c), name);
                    value.ifPresent(v -> row.put(name, v.value()));
                }
                rows.add(row);
            }
            Tables.print(this, "customers", rows);
            return ExitCodes.DONE;
        }
    }

    /** Deletes a customer. */
    @Command(name = "delete", description = "Deletes a customer with all its settings, also within services.")
    static final class Delete extends ChangeCommand {
        @Parameters(paramLabel = "ID", description = "The id of the customer.")
        private String id;

        @Override
        Optional<SettingsChange> build(SettingsDocument current, SettingsChange change) throws RefusedException {
            return Optional.of(Tables.unsetAll(
                    current,
                    change,
                    "customer \"" + id + "\"",
                    p -> p.startsWith("customer/" + id + "/") || p.contains("/customer/" + id + "/")));
        }

        @Override
        String defaultSummary() {
            return "delete customer " + id;
        }
    }
}
