package org.jujuberouter.routing;

import java.util.Optional;
import java.util.Set;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.Fingerprint;

/**
 * The properties of a request that routing depends on.
 *
 * @param variant the requested service variant
 * @param promptTokens length of the prompt
 * @param maxAnswerTokens maximum length of the response in tokens
 * @param blocks hash chain of the prompt, from {@link PromptBlocks}
 * @param pinned fingerprint of a prompt that is suspected of crashing engines: all instances send it to the same
 *     endpoint first; empty otherwise
 * @param excluded endpoints that were already tried
 */
public record RouteRequest(
        ServiceVariant variant,
        long promptTokens,
        long maxAnswerTokens,
        long[] blocks,
        Optional<Fingerprint> pinned,
        Set<EndpointId> excluded) {
    /** Returns a request that is not pinned and excludes no endpoint. */
    public static RouteRequest of(ServiceVariant variant, long promptTokens, long maxAnswerTokens, long[] blocks) {
        return new RouteRequest(variant, promptTokens, maxAnswerTokens, blocks, Optional.empty(), Set.of());
    }

    /** Returns a copy that goes to the endpoint that all instances choose for the fingerprint. */
    public RouteRequest pinnedTo(Fingerprint fingerprint) {
        return new RouteRequest(variant, promptTokens, maxAnswerTokens, blocks, Optional.of(fingerprint), excluded);
    }

    /** Returns a copy that excludes the given endpoints. */
    public RouteRequest excluding(Set<EndpointId> tried) {
        return new RouteRequest(variant, promptTokens, maxAnswerTokens, blocks, pinned, Set.copyOf(tried));
    }

    long neededTokens() {
        return promptTokens + maxAnswerTokens;
    }

    boolean isLong() {
        return PromptSize.ofPrompt(promptTokens) == PromptSize.LONG;
    }
}
