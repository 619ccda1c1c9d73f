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

@Command(
        name = "customer",
        mixinStandardHelpOptions = true,
        subcommands = {
            CustomerCommand.CreateCustomer.class,
            CustomerCommand.ListCustomers.class,
            CustomerCommand.DeleteCustomer.class
        },
        description = "Creates, lists and deletes customers.")
final class CustomerCommand extends GroupCommand {
    @Command(
            name = "create",
            description = "Creates a customer. Without --key-hash, a new API key is generated and shown once.")
    static final class CreateCustomer extends ChangeCommand {
        private static final int KEY_BYTES = 32;

        @Parameters(paramLabel = "ID", description = "The id of the customer.")
        private String id;

        @Option(names = "--key-hash", paramLabel = "HEX", description = "SHA-256 of an existing API key.")
        private String keyHash;

        @Option(names = "--weight", paramLabel = "NUMBER", description = "Relative share when capacity is short.")
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
            SettingsChange edited = change.set(target.path(SettingsSchema.KEY_HASH), TextNode.valueOf(keyHash));
            String path = target.path("weight");
            return Optional.of(weight == null ? edited : edited.set(path, SettingValueParser.parse(path, weight)));
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

    @Command(name = "list", description = "Lists the customers with their effective weight and limits.")
    static final class ListCustomers extends StoreCommand {
        private static final List<String> LISTED_SETTINGS =
                List.of("weight", "limits.requests-per-second", "limits.tokens-per-second", "limits.long-prompts");

        @Override
        int run(SettingsEditor editor) throws PlatformException, SettingsException {
            Settings settings = Settings.of(editor.read());
            List<Map<String, Object>> rows = new ArrayList<>();
            for (CustomerId customerId : settings.customers()) {
                Map<String, Object> row = new LinkedHashMap<>();
                row.put("customer", customerId.value());
                for (String name : LISTED_SETTINGS) {
                    Optional<EffectiveValue> value = settings.effective(new SettingTarget.Customer(customerId), name);
                    value.ifPresent(v -> row.put(name, v.value()));
                }
                rows.add(row);
            }
            ResourceCommands.printRows(this, "customers", rows);
            return ExitCodes.SUCCESS;
        }
    }

    @Command(
            name = "delete",
            description = "Deletes a customer with all its settings, including those within services.")
    static final class DeleteCustomer extends ChangeCommand {
        @Parameters(paramLabel = "ID", description = "The id of the customer.")
        private String id;

        @Override
        Optional<SettingsChange> build(SettingsDocument current, SettingsChange change) throws RefusedException {
            return Optional.of(ResourceCommands.unsetMatching(
                    current,
                    change,
                    "customer \"" + id + "\"",
                    settingPath -> settingPath.startsWith("customer/" + id + "/")
                            || settingPath.contains("/customer/" + id + "/")));
        }

        @Override
        String defaultSummary() {
            return "delete customer " + id;
        }
    }
}
