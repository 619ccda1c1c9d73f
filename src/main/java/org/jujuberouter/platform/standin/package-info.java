/** Small stand-ins of the users' platform: its store and its engines, for tests and for the training run of the build. */
package org.jujuberouter.platform.standin;
