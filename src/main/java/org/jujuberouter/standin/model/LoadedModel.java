package org.jujuberouter.standin.model;

/**
 * The model, adapter and version that an engine has loaded or a request needs.
 *
 * @param model the model; empty in a request that accepts any model
 * @param adapter the adapter; empty for none, or in a request that accepts any adapter
 * @param version the version; empty in a request that accepts any version
 */
public record LoadedModel(String model, String adapter, String version) {
    private static final LoadedModel ANY = new LoadedModel("", "", "");

    /** Returns the combination of a model, an adapter and a version. */
    public static LoadedModel of(String model, String adapter, String version) {
        return new LoadedModel(model, adapter, version);
    }

    /** Returns the value that matches every loaded model. */
    public static LoadedModel any() {
        return ANY;
    }

    boolean accepts(LoadedModel loaded) {
        return (model.isEmpty() || model.equals(loaded.model))
                && (adapter.isEmpty() || adapter.equals(loaded.adapter))
                && (version.isEmpty() || version.equals(loaded.version));
    }
}
