package org.jujuberouter.control;

/** A change of one key. */
public sealed interface ControlEvent {
    String key();

    /** Returns the revision of the store at which the change was made. */
    long revision();

    /** The key was written. */
    record Written(String key, long revision, ControlEntry entry) implements ControlEvent {}

    /** The key was removed. */
    record Removed(String key, long revision) implements ControlEvent {}
}
