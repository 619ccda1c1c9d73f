/** Command-line interface: one program with a subcommand for each task. */
package org.jujuberouter.cli;
