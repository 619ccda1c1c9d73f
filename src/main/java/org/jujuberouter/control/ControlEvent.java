package org.jujuberouter.control;

import org.jujuberouter.id.StorePosition;

/** A change of one key. */
public sealed interface ControlEvent {
    String key();

    /** Returns the position of the store at which the change was made. */
    StorePosition position();

    /** The key was written. */
    record Written(String key, StorePosition position, ControlEntry entry) implements ControlEvent {}

    /** The key was removed. */
    record Removed(String key, StorePosition position) implements ControlEvent {}
}
