package org.jujuberouter.scaling;

/**
 * The engines of a service in a failure domain. Draining engines are not counted at all.
 *
 * @param registered number of registered engines
 * @param usable number of those that accept calls and are not cold
 * @param cold number of those that accept calls, but are in their cold start
 */
public record EngineCount(int registered, int usable, int cold) {}
