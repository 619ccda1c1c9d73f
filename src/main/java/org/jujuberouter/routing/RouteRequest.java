package org.jujuberouter.routing;

import java.util.Optional;
import java.util.Set;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.Fingerprint;

/**
 * What routing needs to know about a request.
 *
 * @param variant what must serve it
 * @param promptTokens length of the prompt
 * @param maxAnswerTokens most tokens of the answer
 * @param blocks chain from {@link PromptBlocks}
 * @param pinned set for a fingerprint under suspicion: all instances send it to the same endpoint first
 * @param excluded endpoints that were tried already
 */
public record RouteRequest(
        ServiceVariant variant,
        long promptTokens,
        long maxAnswerTokens,
        long[] blocks,
        Optional<Fingerprint> pinned,
        Set<EndpointId> excluded) {
    /** Returns a request without suspicion that was not tried before. */
    public static RouteRequest of(ServiceVariant variant, long promptTokens, long maxAnswerTokens, long[] blocks) {
        return new RouteRequest(variant, promptTokens, maxAnswerTokens, blocks, Optional.empty(), Set.of());
    }

    /** Returns the same request, to be sent to the endpoint that all instances choose for the fingerprint. */
    public RouteRequest pinnedTo(Fingerprint fingerprint) {
        return new RouteRequest(variant, promptTokens, maxAnswerTokens, blocks, Optional.of(fingerprint), excluded);
    }

    /** Returns the same request after the given endpoints were tried. */
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
