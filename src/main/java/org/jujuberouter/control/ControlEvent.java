package org.jujuberouter.control;

/** A change of one key. */
public sealed interface ControlEvent {
    /** Returns the key. */
    String key();

    /** Returns the store's revision of the change. */
    long revision();

    /** The key was written. */
    record Written(String key, long revision, ControlEntry entry) implements ControlEvent {}

    /** The key is gone. */
    record Removed(String key, long revision) implements ControlEvent {}
}
