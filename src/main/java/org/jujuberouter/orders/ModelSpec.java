package org.jujuberouter.orders;

/**
 * What an engine has loaded or should load.
 *
 * @param model the model; empty when nothing is loaded
 * @param adapter the adapter; empty for none
 * @param version the version
 */
public record ModelSpec(String model, String adapter, String version) {
    /** Returns the combination. */
    public static ModelSpec of(String model, String adapter, String version) {
        return new ModelSpec(model, adapter, version);
    }
}
