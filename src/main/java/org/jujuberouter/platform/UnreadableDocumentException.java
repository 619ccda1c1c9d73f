package org.jujuberouter.platform;

/** Thrown when a document is not a configuration at all, so that it cannot be checked. */
public final class UnreadableDocumentException extends Exception {
    private static final long serialVersionUID = 1;

    private UnreadableDocumentException(String message) {
        super(message);
    }

    static UnreadableDocumentException of(String message) {
        return new UnreadableDocumentException(message);
    }
}
