package org.jujuberouter.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.settings.SettingsEditor;
import org.jujuberouter.settings.SettingsException;
import org.jujuberouter.store.HttpPlatformStore;
import org.jujuberouter.store.PlatformException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Base class of the commands that read or change the settings in the platform store. */
@Command(
        mixinStandardHelpOptions = true,
        exitCodeListHeading = ExitCodes.HELP_HEADING,
        exitCodeList = {
            "0:done",
            "1:internal error",
            "2:wrong usage",
            "3:conflict with another change, which the message names",
            "4:refused: not allowed, does not exist or exists already; nothing was changed",
            "5:the store is unavailable; nothing was changed",
            "6:it is unknown whether the change took effect"
        })
abstract class StoreCommand implements Callable<Integer> {
    static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    /** Output formats of a command. */
    enum OutputFormat {
        TEXT,
        JSON;

        /** Returns the name in lower case, as shown in the help. */
        @Override
        public String toString() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    @Spec
    CommandSpec spec;

    @Option(
            names = "--store",
            paramLabel = "URL",
            defaultValue = "${env:JUJUBEROUTER_STORE}",
            description = "Address of the platform store, such as http://10.0.0.9:8500 (default: $JUJUBEROUTER_STORE).")
    private String store;

    @Option(
            names = "--output",
            paramLabel = "FORM",
            defaultValue = "text",
            description = "Output format: ${COMPLETION-CANDIDATES} (default ${DEFAULT-VALUE}).")
    private OutputFormat output;

    @Option(
            names = "--timeout-ms",
            paramLabel = "MS",
            defaultValue = "10000",
            description = "How long to retry a change while the store does not respond (default ${DEFAULT-VALUE} ms).")
    private long timeoutMs;

    abstract int run(SettingsEditor editor)
            throws PlatformException, SettingsException, RefusedException, IOException, InterruptedException;

    @Override
    public Integer call() throws InterruptedException, IOException {
        SettingsEditor editor =
                SettingsEditor.of(HttpPlatformStore.at(storeAddress()), Ticker.system(), Duration.ofMillis(timeoutMs));
        try {
            return run(editor);
        } catch (PlatformException e) {
            return fail("unavailable", e.getMessage(), ExitCodes.STORE_UNAVAILABLE);
        } catch (SettingsException | RefusedException e) {
            return fail("refused", e.getMessage(), ExitCodes.REFUSED);
        }
    }

    boolean isJson() {
        return output == OutputFormat.JSON;
    }

    void print(String line) {
        spec.commandLine().getOut().println(line);
        spec.commandLine().getOut().flush();
    }

    void printError(String line) {
        spec.commandLine().getErr().println(line);
        spec.commandLine().getErr().flush();
    }

    void printJson(Object value) {
        try {
            print(JSON.writeValueAsString(value));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("the result cannot be written as JSON", e);
        }
    }

    int fail(String result, String message, int code) {
        if (isJson()) {
            printJson(Map.of("result", result, "message", message));
        } else {
            printError(message);
        }
        return code;
    }

    CommandLine.ParameterException usageError(String message) {
        return new CommandLine.ParameterException(spec.commandLine(), message);
    }

    private URI storeAddress() {
        if (store == null || store.isBlank()) {
            throw usageError("no store address is given; use --store URL or set JUJUBEROUTER_STORE");
        }
        return Flags.httpAddress(store)
                .orElseThrow(() -> usageError("--store is \"" + store + "\"; allowed: " + Flags.HTTP_ADDRESS));
    }
}
