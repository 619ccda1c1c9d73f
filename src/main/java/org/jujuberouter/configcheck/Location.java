package org.jujuberouter.configcheck;

/** The place of an entry in the document; the decoder knows the names of its fields. */
public interface Location {
    /** Returns the path of the entry. */
    String path();

    /** Returns the path of a field of the entry. */
    String path(ConfigurationField field);

    /** Returns the path of an item of a list, or of the field that holds the only item. */
    String path(ConfigurationField list, int index);
}
