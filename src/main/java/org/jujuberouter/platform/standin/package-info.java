/** Stand-ins for the store and the engines of the users' platform, for tests and the training run of the build. */
package org.jujuberouter.platform.standin;
