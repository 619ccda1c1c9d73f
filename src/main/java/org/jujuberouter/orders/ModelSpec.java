package org.jujuberouter.orders;

/**
 * The model, adapter and version that an engine has loaded or is to load.
 *
 * @param model the model; empty if none is loaded
 * @param adapter the adapter; empty for none
 * @param version the version
 */
public record ModelSpec(String model, String adapter, String version) {
    /** Returns the specification with these values. */
    public static ModelSpec of(String model, String adapter, String version) {
        return new ModelSpec(model, adapter, version);
    }
}
