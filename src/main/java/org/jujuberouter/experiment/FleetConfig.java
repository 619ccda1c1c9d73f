package org.jujuberouter.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.ModelName;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.routing.EndpointSpec;
import org.jujuberouter.routing.ServiceVariant;
import org.jujuberouter.standin.model.EngineSettings;

/**
 * Configuration of a simulated deployment.
 *
 * @param engines number of engines, spread over three failure domains
 * @param isolateSizes whether admission control and engines schedule prompts by size class; if not, first come, first
 *     served
 * @param longSubset whether long prompts are confined to a subset of a third of the engines
 * @param cacheEvents whether instances receive the cache events of engines
 * @param baselineStrategy name of the {@link BaselinePolicy.Strategy} that instances use; empty for the router
 */
record FleetConfig(
        int engines, boolean isolateSizes, boolean longSubset, boolean cacheEvents, String baselineStrategy) {
    static final int DOMAINS = 3;
    static final int INSTANCES = 8;
    static final ServiceVariant MODEL = ServiceVariant.of(ServiceName.of("assistant"), ModelName.of("base"), "", "1");

    /** In each domain every fifth engine is four times as large, so that prompts of a million tokens fit. */
    private static final int LARGE_ENGINE_INTERVAL = 5;

    private static final long LARGE_KV_TOKENS = 2_200_000;
    private static final long LARGE_CACHE_TOKENS = 1_600_000;

    static boolean isLargeEngine(int engine) {
        return engine / DOMAINS % LARGE_ENGINE_INTERVAL == 0;
    }

    static EngineSettings settings(int engine, long seed) {
        var settings = EngineSettings.builder().seed(seed * 1000 + engine);
        if (isLargeEngine(engine)) {
            settings.kvTokens(LARGE_KV_TOKENS).cache(LARGE_CACHE_TOKENS, 256).prefill(40_000, 1536);
        }
        return settings.build();
    }

    static FailureDomain domain(int index) {
        return FailureDomain.of("domain-" + index % DOMAINS);
    }

    List<EndpointSpec> endpoints() {
        List<EndpointSpec> endpoints = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            endpoints.add(new EndpointSpec(
                    EndpointId.of("engine-" + i),
                    domain(i),
                    Set.of(MODEL),
                    settings(i, 0).kvTokens(),
                    settings(i, 0).prefillTokensPerSecond()));
        }
        return endpoints;
    }
}
