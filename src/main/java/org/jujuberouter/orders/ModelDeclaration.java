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
 * What operators declared for one model of a service.
 *
 * @param model the model
 * @param version the newest version
 * @param adapters the adapters to spread over its engines; empty for the bare model
 * @param engines the model's weight when the service's engines are divided
 * @param prefillShare the share of its engines that only prefill; 0 for engines that do both
 */
public record ModelDeclaration(
        String model, String version, List<String> adapters, double engines, double prefillShare) {
    /**
     * Returns the offers of all services whose placement is declared.
     *
     * <p>A service in which any model lacks {@code engines} is left alone, so that declaring one model after the other
     * does not take the engines of those that are not declared yet.
     */
    public static Map<ServiceName, List<ModelDeclaration>> of(Settings settings) {
        Map<ServiceName, List<ModelDeclaration>> all = new LinkedHashMap<>();
        for (ServiceName service : settings.services()) {
            List<ModelDeclaration> offers = new ArrayList<>();
            for (ModelName model : settings.models(service)) {
                SettingTarget.Model at = new SettingTarget.Model(service, model);
                Optional<EffectiveValue> engines = settings.effective(at, "engines");
                List<String> versions = settings.texts(at, "versions");
                if (engines.isPresent() && !versions.isEmpty()) {
                    offers.add(new ModelDeclaration(
                            model.value(),
                            versions.getFirst(),
                            settings.texts(at, "adapters"),
                            engines.get().value().doubleValue(),
                            settings.number(at, "prefill-share")));
                }
            }
            if (!offers.isEmpty() && offers.size() == settings.models(service).size()) {
                all.put(service, List.copyOf(offers));
            }
        }
        return all;
    }
}
