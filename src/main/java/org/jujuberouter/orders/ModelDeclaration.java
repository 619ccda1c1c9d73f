package org.jujuberouter.orders;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujuberouter.id.ModelName;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.settings.EffectiveValue;
import org.jujuberouter.settings.SettingTarget;
import org.jujuberouter.settings.Settings;

/**
 * The settings of one model of a service that determine the placement of its engines.
 *
 * @param model the model
 * @param version the newest version
 * @param adapters the adapters to distribute over its engines; empty for the model without adapter
 * @param weight the weight of the model when the engines of the service are divided among its models
 * @param prefillShare the share of its engines that only prefill; 0 if each engine does prefill and decode
 */
public record ModelDeclaration(
        String model, String version, List<String> adapters, double weight, double prefillShare) {
    /**
     * Returns the declarations of all services whose placement is declared.
     *
     * <p>A service is omitted if one of its models lacks the setting {@code engines} or {@code versions}, so that
     * declaring the models one after another does not take engines from those that are not declared yet.
     */
    public static Map<ServiceName, List<ModelDeclaration>> of(Settings settings) {
        Map<ServiceName, List<ModelDeclaration>> all = new LinkedHashMap<>();
        for (ServiceName service : settings.services()) {
            List<ModelDeclaration> declarations = new ArrayList<>();
            for (ModelName model : settings.models(service)) {
                SettingTarget.Model at = new SettingTarget.Model(service, model);
                Optional<EffectiveValue> weight = settings.effective(at, "engines");
                List<String> versions = settings.texts(at, "versions");
                if (weight.isPresent() && !versions.isEmpty()) {
                    declarations.add(new ModelDeclaration(
                            model.value(),
                            versions.getFirst(),
                            settings.texts(at, "adapters"),
                            weight.get().value().doubleValue(),
                            settings.number(at, "prefill-share")));
                }
            }
            if (!declarations.isEmpty()
                    && declarations.size() == settings.models(service).size()) {
                all.put(service, List.copyOf(declarations));
            }
        }
        return all;
    }
}
