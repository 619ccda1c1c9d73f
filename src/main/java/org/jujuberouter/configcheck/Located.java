package org.jujuberouter.configcheck;

/**
 * A decoded entry and its place in the document.
 *
 * @param value the entry
 * @param location its place
 */
public record Located<T>(T value, Location location) {}
