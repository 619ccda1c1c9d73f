package org.jujuberouter.standin.model;

import java.time.Duration;

/** Builds {@link EngineSettings}; what is not set keeps its default. */
public final class EngineSettingsBuilder {
    private int prefillTokensPerSecond = 20_000;
    /** 768 tokens take 38.4 ms, which keeps the time between tokens below the target of 43 ms. */
    private int stepTokenBudget = 768;

    private long contextDoublingTokens = 400_000;
    /** A batch of 32 then takes 25 ms. */
    private Duration stepBase = Duration.ofMillis(13);

    private Duration stepPerSequence = Duration.ofNanos(375_000);
    private int maxBatch = 128;
    private long kvTokens = 450_000;
    private long cacheTokens = 400_000;
    private int blockTokens = 256;
    private long heldBytesLimit = 64L << 20;
    private Duration cacheEventDelay = Duration.ofMillis(300);
    private double cacheEventLoss = 0.02;
    private Duration loadInterval = Duration.ofMillis(500);
    private Duration loadLag = Duration.ofMillis(500);
    private Duration coldDuration = Duration.ofSeconds(20);
    private double coldFactor = 4;
    private int coldConcurrency = 2;
    private Duration modelLoadTime = Duration.ofSeconds(30);
    private Duration linger = Duration.ofSeconds(30);
    private boolean checksFencing = true;
    private long seed = 1;

    EngineSettingsBuilder() {}

    /** Sets the prompt tokens per second and the token budget of a step. */
    public EngineSettingsBuilder prefill(int tokensPerSecond, int tokensPerStep) {
        prefillTokensPerSecond = tokensPerSecond;
        stepTokenBudget = tokensPerStep;
        return this;
    }

    /** Sets the position at which a prompt token costs twice as much. */
    public EngineSettingsBuilder contextDoublingTokens(long tokens) {
        contextDoublingTokens = tokens;
        return this;
    }

    /** Sets the time of a step: a base and a part for each answer in the batch. */
    public EngineSettingsBuilder stepTime(Duration base, Duration perSequence) {
        stepBase = base;
        stepPerSequence = perSequence;
        return this;
    }

    /** Sets how many requests hold memory at the same time. */
    public EngineSettingsBuilder maxBatch(int requests) {
        maxBatch = requests;
        return this;
    }

    /** Sets the memory for requests. */
    public EngineSettingsBuilder kvTokens(long tokens) {
        kvTokens = tokens;
        return this;
    }

    /** Sets the memory of the prefix cache and the size of a block. */
    public EngineSettingsBuilder cache(long tokens, int tokensPerBlock) {
        cacheTokens = tokens;
        blockTokens = tokensPerBlock;
        return this;
    }

    /** Sets the limit of unread bytes. */
    public EngineSettingsBuilder heldBytesLimit(long bytes) {
        heldBytesLimit = bytes;
        return this;
    }

    /** Sets how late cache events are and how many are lost. */
    public EngineSettingsBuilder cacheEvents(Duration delay, double loss) {
        cacheEventDelay = delay;
        cacheEventLoss = loss;
        return this;
    }

    /** Sets how often load is reported and how late. */
    public EngineSettingsBuilder loadReports(Duration interval, Duration lag) {
        loadInterval = interval;
        loadLag = lag;
        return this;
    }

    /** Sets the length of a cold start, its slowness and the requests it bears. */
    public EngineSettingsBuilder coldStart(Duration duration, double factor, int concurrency) {
        coldDuration = duration;
        coldFactor = factor;
        coldConcurrency = concurrency;
        return this;
    }

    /** Sets the time to load a model. */
    public EngineSettingsBuilder modelLoadTime(Duration time) {
        modelLoadTime = time;
        return this;
    }

    /** Sets for how long a completed and fully read request stays known. */
    public EngineSettingsBuilder linger(Duration time) {
        linger = time;
        return this;
    }

    /** Sets whether orders with an old fencing number are refused. */
    public EngineSettingsBuilder checksFencing(boolean checks) {
        checksFencing = checks;
        return this;
    }

    /** Sets the seed of lost cache events. */
    public EngineSettingsBuilder seed(long value) {
        seed = value;
        return this;
    }

    /** Returns the settings. */
    public EngineSettings build() {
        return new EngineSettings(
                prefillTokensPerSecond,
                stepTokenBudget,
                contextDoublingTokens,
                stepBase,
                stepPerSequence,
                maxBatch,
                kvTokens,
                cacheTokens,
                blockTokens,
                heldBytesLimit,
                cacheEventDelay,
                cacheEventLoss,
                loadInterval,
                loadLag,
                coldDuration,
                coldFactor,
                coldConcurrency,
                modelLoadTime,
                linger,
                checksFencing,
                seed);
    }
}
