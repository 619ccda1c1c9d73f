package org.jujuberouter.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.BooleanNode;
import java.util.List;
import java.util.Optional;
import org.jujuberouter.settings.SettingsChange;
import org.jujuberouter.settings.SettingsDocument;
import org.jujuberouter.settings.SettingsSchema;
import picocli.CommandLine.Parameters;

/**
 * Base of the commands that take failure domains or endpoints out of service and bring them back.
 *
 * <p>Repeating a command changes nothing, so that operators under pressure may do so.
 */
abstract class DrainCommand extends ChangeCommand {
    private final String kind;
    private final boolean drained;

    @Parameters(arity = "1..*", paramLabel = "NAME", description = "One or more names; all go into one change.")
    private List<String> names;

    DrainCommand(String kind, boolean drained) {
        this.kind = kind;
        this.drained = drained;
    }

    @Override
    Optional<SettingsChange> build(SettingsDocument current, SettingsChange change) {
        SettingsChange all = change;
        for (String name : names) {
            String path = kind + "/" + name + "/" + SettingsSchema.DRAINED;
            JsonNode now = current.values().get(path);
            if (drained && !BooleanNode.TRUE.equals(now)) {
                all = all.set(path, BooleanNode.TRUE);
            } else if (!drained && now != null) {
                all = all.unset(path);
            }
        }
        return all.edits().isEmpty() ? Optional.empty() : Optional.of(all);
    }

    @Override
    String defaultSummary() {
        return (drained ? "drain " : "restore ") + kind + " " + String.join(" ", names);
    }
}
