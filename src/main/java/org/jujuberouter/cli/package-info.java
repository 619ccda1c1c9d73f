/** The command line: one binary with a subcommand for each program. */
package org.jujuberouter.cli;
