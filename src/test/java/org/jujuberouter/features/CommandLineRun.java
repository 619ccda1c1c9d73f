package org.jujuberouter.features;

import java.io.PrintWriter;
import java.io.StringWriter;
import picocli.CommandLine;

/** The exit status and output of one run of a command. */
record CommandLineRun(int status, String output) {
    static CommandLineRun of(Object command, String... arguments) {
        StringWriter output = new StringWriter();
        int status = new CommandLine(command)
                .setOut(new PrintWriter(output))
                .setErr(new PrintWriter(output))
                .execute(arguments);
        return new CommandLineRun(status, output.toString());
    }
}
