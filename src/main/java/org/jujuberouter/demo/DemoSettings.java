package org.jujuberouter.demo;

import java.net.URI;

/** The settings of the demo's site. */
final class DemoSettings {
    private DemoSettings() {}

    static void write(URI store) {
        // the settings tree is added with its package
    }
}
