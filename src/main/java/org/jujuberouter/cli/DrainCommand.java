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
 * Base class of the commands that drain and restore failure domains or endpoints.
 *
 * <p>The commands are idempotent, so that operators can safely repeat them during an incident.
 */
abstract class DrainCommand extends ChangeCommand {
    private final String resourceKind;
    private final boolean drained;

    @Parameters(arity = "1..*", paramLabel = "NAME", description = "One or more names; all are included in one change.")
    private List<String> names;

    DrainCommand(String resourceKind, boolean drained) {
        this.resourceKind = resourceKind;
        this.drained = drained;
    }

    @Override
    Optional<SettingsChange> build(SettingsDocument current, SettingsChange change) {
        SettingsChange edited = change;
        for (String name : names) {
            String path = resourceKind + "/" + name + "/" + SettingsSchema.DRAINED;
            JsonNode storedValue = current.values().get(path);
            if (drained && !BooleanNode.TRUE.equals(storedValue)) {
                edited = edited.set(path, BooleanNode.TRUE);
            } else if (!drained && storedValue != null) {
                edited = edited.unset(path);
            }
        }
        return edited.edits().isEmpty() ? Optional.empty() : Optional.of(edited);
    }

    @Override
    String defaultSummary() {
        return (drained ? "drain " : "restore ") + resourceKind + " " + String.join(" ", names);
    }
}
