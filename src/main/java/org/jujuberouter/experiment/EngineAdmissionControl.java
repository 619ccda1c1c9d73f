package org.jujuberouter.experiment;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.jujuberouter.routing.PromptSize;
import org.jujuberouter.routing.RoutingSettings;

/**
 * A minimal model of the admission control that an engine's owner performs, which keeps the engine within its limits.
 *
 * <p>With isolation of size classes, one long prompt is prefilled at a time, long prompts use at most 60% of the
 * memory, and 20% of the memory and 25% of the request slots are reserved for short prompts. Each size class is queued
 * separately, and shorter classes are admitted first. Without isolation, requests are admitted in order of arrival.
 */
final class EngineAdmissionControl {
    /** A step with 64 running responses takes 37 ms, below the inter-token target of 43 ms. */
    static final int MAX_REQUESTS = 64;

    private static final double MAX_NON_SHORT_MEMORY_SHARE = 0.8;
    private static final double MAX_NON_SHORT_REQUEST_SHARE = 0.75;

    private final long kvTokens;
    private final boolean isolateSizes;
    private final List<AdmissionRequest> queue = new ArrayList<>();
    private final int[] requests = new int[PromptSize.values().length];
    private final long[] reservedTokens = new long[PromptSize.values().length];
    private int activeLongPrefills;

    /** A request that was admitted or waits for admission. */
    static final class AdmissionRequest {
        private final PromptSize size;
        private final long requiredTokens;
        private final long promptTokens;
        private final Runnable onAdmitted;

        AdmissionRequest(long promptTokens, long requiredTokens, Runnable onAdmitted) {
            this.size = PromptSize.ofPrompt(promptTokens);
            this.promptTokens = promptTokens;
            this.requiredTokens = requiredTokens;
            this.onAdmitted = onAdmitted;
        }
    }

    EngineAdmissionControl(long kvTokens, boolean isolateSizes) {
        this.kvTokens = kvTokens;
        this.isolateSizes = isolateSizes;
    }

    boolean tryAdmit(AdmissionRequest request) {
        boolean mustQueue = queue.stream().anyMatch(queued -> !isolateSizes || queued.size == request.size);
        if (mustQueue || !admits(request)) {
            return false;
        }
        admit(request);
        return true;
    }

    void enqueue(AdmissionRequest request) {
        queue.add(request);
    }

    void prefillCompleted(AdmissionRequest request) {
        if (request.size == PromptSize.LONG) {
            activeLongPrefills--;
            admitQueued();
        }
    }

    void requestCompleted(AdmissionRequest request) {
        requests[request.size.ordinal()]--;
        reservedTokens[request.size.ordinal()] -= request.requiredTokens;
        admitQueued();
    }

    int queuedRequests() {
        return queue.size();
    }

    long queuedPromptTokens(PromptSize size) {
        return queue.stream()
                .filter(queued -> queued.size == size)
                .mapToLong(queued -> queued.promptTokens)
                .sum();
    }

    private void admitQueued() {
        for (PromptSize size : PromptSize.values()) {
            Iterator<AdmissionRequest> iterator = queue.iterator();
            while (iterator.hasNext()) {
                AdmissionRequest request = iterator.next();
                if (isolateSizes && request.size != size) {
                    continue;
                }
                if (!admits(request)) {
                    break;
                }
                iterator.remove();
                admit(request);
            }
        }
    }

    private void admit(AdmissionRequest request) {
        requests[request.size.ordinal()]++;
        reservedTokens[request.size.ordinal()] += request.requiredTokens;
        if (request.size == PromptSize.LONG) {
            activeLongPrefills++;
        }
        request.onAdmitted.run();
    }

    private boolean admits(AdmissionRequest request) {
        int nonShortRequests = requests[PromptSize.MEDIUM.ordinal()] + requests[PromptSize.LONG.ordinal()];
        long nonShortTokens = reservedTokens[PromptSize.MEDIUM.ordinal()] + reservedTokens[PromptSize.LONG.ordinal()];
        long totalTokens = nonShortTokens + reservedTokens[PromptSize.SHORT.ordinal()] + request.requiredTokens;
        if (nonShortRequests + requests[PromptSize.SHORT.ordinal()] >= MAX_REQUESTS || totalTokens > kvTokens) {
            return false;
        }
        if (!isolateSizes || request.size == PromptSize.SHORT) {
            return true;
        }
        if (nonShortRequests >= MAX_REQUESTS * MAX_NON_SHORT_REQUEST_SHARE
                || nonShortTokens + request.requiredTokens > kvTokens * MAX_NON_SHORT_MEMORY_SHARE) {
            return false;
        }
        return request.size == PromptSize.MEDIUM
                || (activeLongPrefills == 0
                        && reservedTokens[PromptSize.LONG.ordinal()] + request.requiredTokens
                                <= kvTokens * RoutingSettings.LONG_MEMORY_SHARE);
    }
}
