package org.jujuberouter.demo;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import org.HdrHistogram.Histogram;

/**
 * Measures what an instance adds to the time to the first token.
 *
 * <p>Requests go to an engine directly and through instances in turn, so that both see the same state of the machine. The
 * instances choose among several engines, one of which is also called directly.
 */
public final class HopMeasurement {
    private static final int WARM_UP = 100;
    private static final long LONGEST_MICROS = 60_000_000L;
    private static final double NANOS_PER_MICRO = 1_000.0;
    private static final double MICROS_PER_MILLI = 1_000.0;

    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private HopMeasurement() {}

    /** Sends the given number of requests each way and prints the times. */
    public static void run(int requests, PrintStream out) throws Exception {
        try (DemoSite site = DemoSite.start(3, 3)) {
            HopMeasurement hop = new HopMeasurement();
            String engine = site.engines().getFirst().address();
            hop.awaitReady(site.callerAddresses().getFirst());
            Histogram direct = new Histogram(LONGEST_MICROS, 3);
            Histogram through = new Histogram(LONGEST_MICROS, 3);
            for (int i = 0; i < WARM_UP + requests; i++) {
                String entry =
                        site.callerAddresses().get(i % site.callerAddresses().size());
                long a = hop.firstToken(engine, "direct-" + i);
                long b = hop.firstToken(entry, "through-" + i);
                if (i >= WARM_UP) {
                    direct.recordValue(a);
                    through.recordValue(b);
                }
            }
            out.println("time to first token, ms       median     99th percentile");
            print(out, "direct", direct);
            print(out, "through an instance", through);
            out.printf(
                    "added                        %7.2f     %7.2f%n",
                    (through.getValueAtPercentile(50) - direct.getValueAtPercentile(50)) / MICROS_PER_MILLI,
                    (through.getValueAtPercentile(99) - direct.getValueAtPercentile(99)) / MICROS_PER_MILLI);
        }
    }

    private static void print(PrintStream out, String name, Histogram times) {
        out.printf(
                "%-28s %7.2f     %7.2f%n",
                name,
                times.getValueAtPercentile(50) / MICROS_PER_MILLI,
                times.getValueAtPercentile(99) / MICROS_PER_MILLI);
    }

    private void awaitReady(String entry) throws Exception {
        long end = System.nanoTime() + 30_000_000_000L;
        while (System.nanoTime() < end) {
            try {
                firstToken(entry, "ready-" + System.nanoTime());
                return;
            } catch (IOException e) {
                Thread.sleep(200);
            }
        }
        throw new IOException("no instance was ready within 30 s");
    }

    /** Returns the microseconds to the first event of an answer of one token. */
    private long firstToken(String address, String id) throws IOException, InterruptedException {
        String body = "{\"model\":\"" + DemoCaller.MODEL + "\",\"prompt\":\"hop " + id
                + "\",\"max_tokens\":1,\"stream\":true}";
        long start = System.nanoTime();
        HttpResponse<java.io.InputStream> response = http.send(
                HttpRequest.newBuilder(URI.create("http://" + address + "/v1/completions"))
                        .header("Authorization", "Bearer " + DemoSettings.API_KEY)
                        .header("X-Request-Id", id)
                        .POST(BodyPublishers.ofString(body))
                        .build(),
                BodyHandlers.ofInputStream());
        try (BufferedReader lines =
                new BufferedReader(new InputStreamReader(response.body(), StandardCharsets.UTF_8))) {
            String first = lines.readLine();
            long micros = (long) ((System.nanoTime() - start) / NANOS_PER_MICRO);
            if (response.statusCode() != 200 || first == null) {
                throw new IOException("status " + response.statusCode() + ": " + first);
            }
            lines.lines().forEach(_ -> {});
            return micros;
        }
    }
}
