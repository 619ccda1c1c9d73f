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
 * Measures the latency that an instance adds to the time to first token.
 *
 * <p>Direct requests to an engine alternate with requests through instances, so that both are measured under the same
 * machine load. The instances route to several engines, one of which is also called directly.
 */
public final class HopMeasurement {
    private static final int WARM_UP_REQUESTS = 100;
    private static final long MAX_TRACKABLE_MICROS = 60_000_000L;
    private static final double NANOS_PER_MICRO = 1_000.0;
    private static final double MICROS_PER_MILLI = 1_000.0;

    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private HopMeasurement() {}

    /** Sends the given number of requests over each path and prints the times. */
    public static void run(int requests, PrintStream out) throws Exception {
        try (DemoSite site = DemoSite.start(3, 3)) {
            HopMeasurement measurement = new HopMeasurement();
            String engine = site.engines().getFirst().address();
            measurement.awaitReady(site.callerAddresses().getFirst());
            Histogram direct = new Histogram(MAX_TRACKABLE_MICROS, 3);
            Histogram through = new Histogram(MAX_TRACKABLE_MICROS, 3);
            for (int i = 0; i < WARM_UP_REQUESTS + requests; i++) {
                String instance =
                        site.callerAddresses().get(i % site.callerAddresses().size());
                long directMicros = measurement.firstTokenMicros(engine, "direct-" + i);
                long throughMicros = measurement.firstTokenMicros(instance, "through-" + i);
                if (i >= WARM_UP_REQUESTS) {
                    direct.recordValue(directMicros);
                    through.recordValue(throughMicros);
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

    private void awaitReady(String instance) throws Exception {
        long deadlineNanos = System.nanoTime() + 30_000_000_000L;
        while (System.nanoTime() < deadlineNanos) {
            try {
                firstTokenMicros(instance, "ready-" + System.nanoTime());
                return;
            } catch (IOException e) {
                Thread.sleep(200);
            }
        }
        throw new IOException("no instance was ready within 30 s");
    }

    /** Returns the time to the first event of a one-token response in microseconds. */
    private long firstTokenMicros(String address, String id) throws IOException, InterruptedException {
        String body = "{\"model\":\"" + DemoCaller.MODEL + "\",\"prompt\":\"hop " + id
                + "\",\"max_tokens\":1,\"stream\":true}";
        long startNanos = System.nanoTime();
        HttpResponse<java.io.InputStream> response = http.send(
                HttpRequest.newBuilder(URI.create("http://" + address + "/v1/completions"))
                        .header("Authorization", "Bearer " + DemoSettings.API_KEY)
                        .header("X-Request-Id", id)
                        .POST(BodyPublishers.ofString(body))
                        .build(),
                BodyHandlers.ofInputStream());
        try (BufferedReader lines =
                new BufferedReader(new InputStreamReader(response.body(), StandardCharsets.UTF_8))) {
            String firstLine = lines.readLine();
            long micros = (long) ((System.nanoTime() - startNanos) / NANOS_PER_MICRO);
            if (response.statusCode() != 200 || firstLine == null) {
                throw new IOException("the request failed with status " + response.statusCode() + ": " + firstLine);
            }
            lines.lines().forEach(_ -> {});
            return micros;
        }
    }
}
