package org.jujuberouter.process;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process of the program under test; closing it terminates this process alone. */
public final class ChildProcess implements AutoCloseable {
    private final Process process;
    private final String firstLine;

    private ChildProcess(Process process, String firstLine) {
        this.process = process;
        this.firstLine = firstLine;
    }

    /** Starts a subcommand and waits for the line on standard output that reports its address. */
    public static ChildProcess start(String... arguments) throws IOException {
        List<String> command = command(arguments);
        Process process = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        BufferedReader out =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        String line = out.readLine();
        if (line == null) {
            throw new IOException("the process ended before it reported its address: " + command);
        }
        return new ChildProcess(process, line);
    }

    /** Starts a subcommand that reports no address, with standard output and error redirected to the file. */
    public static ChildProcess startWithOutputFile(Path output, String... arguments) throws IOException {
        return startWithHeap("", output, arguments);
    }

    /** Starts a subcommand as {@link #startWithOutputFile} does, with an option of the JVM such as {@code -Xmx64m}. */
    static ChildProcess startWithHeap(String javaOption, Path output, String... arguments) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command(arguments));
        if (!javaOption.isEmpty()) {
            builder.environment().put("JUJUBEROUTER_JAVA_OPTS", javaOption);
        }
        return new ChildProcess(
                builder.redirectErrorStream(true)
                        .redirectOutput(output.toFile())
                        .start(),
                "");
    }

    /** Starts a subcommand through another command, such as one that changes how signals are handled. */
    static ChildProcess startThrough(List<String> launcher, Path output, String... arguments) throws IOException {
        List<String> command = new ArrayList<>(launcher);
        command.addAll(command(arguments));
        return new ChildProcess(
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(output.toFile())
                        .start(),
                "");
    }

    private static List<String> command(String... arguments) {
        List<String> command = new ArrayList<>(List.of(System.getProperty("jujuberouter.binary")));
        command.addAll(List.of(arguments));
        return command;
    }

    /** Returns the host and port from the first line of output. */
    String address() {
        return firstLine.replaceFirst("^.*? at (http:/+)?", "").replaceFirst("[,/ ].*", "");
    }

    /** Returns the address of a store's control interface, on which faults are set. */
    String controlAddress() {
        return firstLine.replaceFirst(".*control at http:/+", "");
    }

    /** Returns the address on which an instance accepts connections of its peers. */
    String peerAddress() {
        return firstLine.replaceFirst(".*peers at /+", "");
    }

    long pid() {
        return process.pid();
    }

    /** Sends a signal, such as STOP or CONT, to this process alone. */
    public void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(pid())).start().waitFor();
    }

    /** Kills the process without letting it clean up, as if its machine had failed. */
    public void kill() {
        process.destroyForcibly();
        process.onExit().join();
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    /** Waits for the process to exit and returns its exit code. */
    public int awaitExit(long seconds) throws InterruptedException {
        if (!process.waitFor(seconds, TimeUnit.SECONDS)) {
            throw new AssertionError("process " + pid() + " did not exit within " + seconds + " s");
        }
        return process.exitValue();
    }

    @Override
    public void close() {
        process.destroy();
        try {
            if (!process.waitFor(10, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
