package org.jujuberouter.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublisher;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.net.http.HttpTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.jujuberouter.report.RequestRecord;

/** HTTP client that sends the request of a trace entry and checks the response. */
final class LoadClient implements AutoCloseable {
    static final String TIMEOUT = "timeout";
    static final String CONNECTION = "connection";

    /** Time after its deadline that a call has to end by itself before the client aborts it. */
    private static final long ABORT_GRACE_MILLIS = 5000;

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    /** Maximum size of a response document; a longer one is truncated and counts as incomplete. */
    private static final int MAX_BODY_BYTES = 64 << 20;

    private static final String KEEP_ALIVE_PROPERTY = "jdk.httpclient.keepalive.timeout";
    private static final int WARM_UP_CALLS = 20;
    private static final String UNKNOWN_OUTCOME = "unknown";
    private static final ObjectMapper JSON = new ObjectMapper();

    static {
        // Servers close idle connections, usually after 30 s. A request sent on a connection that the server is closing
        // would count as a fault, so idle connections are dropped earlier.
        if (System.getProperty(KEEP_ALIVE_PROPERTY) == null) {
            System.setProperty(KEEP_ALIVE_PROPERTY, "10");
        }
    }

    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CONNECT_TIMEOUT)
            .executor(Executors.newVirtualThreadPerTaskExecutor())
            .build();
    private final ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(
            1, Thread.ofPlatform().daemon().name("load-timer").factory());
    private final Map<String, String> models;
    private final String runId;
    private final long seed;

    private LoadClient(Map<String, String> models, String runId, long seed) {
        this.models = models;
        this.runId = runId;
        this.seed = seed;
        timer.setRemoveOnCancelPolicy(true);
    }

    static LoadClient of(Map<String, String> models, String runId, long seed) {
        return new LoadClient(models, runId, seed);
    }

    /**
     * Result of a completed call.
     *
     * @param record record of the request
     * @param gapMicros times between the events of the response
     * @param body response document; empty for a stream
     */
    record CallResult(RequestRecord record, Histogram gapMicros, String body) {}

    /** A call in progress and the part of its response that has arrived. */
    private final class ActiveCall {
        private final TraceEntry entry;
        private final String marker;
        private final ResponseChecker checker;
        private final long startNanos;
        private final Histogram gaps = new Histogram(3_600_000_000L, 2);
        private int status;
        private String outcome = UNKNOWN_OUTCOME;
        private String fault = RequestRecord.NO_FAULT;
        private String body = "";
        private long firstTokenNanos = -1;
        private long lastTokenNanos;
        private volatile boolean expired;

        private ActiveCall(TraceEntry entry, String marker, long startNanos) {
            this.entry = entry;
            this.marker = marker;
            this.checker = ResponseChecker.of(marker, entry.answerTokens());
            this.startNanos = startNanos;
        }

        private void run(HttpRequest request) throws IOException, InterruptedException {
            HttpResponse<InputStream> response = http.send(request, BodyHandlers.ofInputStream());
            status = response.statusCode();
            outcome = response.headers().firstValue("Jujuberouter-Outcome").orElse(UNKNOWN_OUTCOME);
            long remainingMillis =
                    entry.deadlineMs() + ABORT_GRACE_MILLIS - (System.nanoTime() - startNanos) / 1_000_000;
            InputStream responseBody = response.body();
            ScheduledFuture<?> expiry =
                    timer.schedule(() -> expire(responseBody), Math.max(1, remainingMillis), TimeUnit.MILLISECONDS);
            try (InputStream in = PacedInputStream.of(responseBody, entry.readerBytesPerSecond())) {
                if (status < 200 || status >= 300) {
                    recordError(readText(in));
                } else if (entry.kind() == RequestKind.STREAM) {
                    processEvents(in);
                } else {
                    processDocument(readText(in));
                }
            } finally {
                expiry.cancel(false);
            }
        }

        private void expire(InputStream in) {
            expired = true;
            try {
                in.close();
            } catch (IOException e) {
                // The response is abandoned in either case.
            }
        }

        private void processEvents(InputStream in) throws IOException {
            BufferedReader lines = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1024);
            boolean terminated = false;
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                if (!line.startsWith("data:")) {
                    continue;
                }
                String data = line.substring("data:".length()).strip();
                if (data.equals("[DONE]")) {
                    terminated = true;
                    break;
                }
                if (!processEvent(data)) {
                    return;
                }
            }
            fault = checker.fault(terminated);
            setDefaultOutcome();
        }

        /** Processes an event; returns false if it is an error, which ends the stream. */
        private boolean processEvent(String data) throws IOException {
            JsonNode event = JSON.readTree(data);
            if (event.has("error")) {
                recordError(data);
                return false;
            }
            checker.checkMarkers(data);
            if (checker.checkText(responseText(event)) > 0) {
                long now = System.nanoTime();
                if (firstTokenNanos < 0) {
                    firstTokenNanos = now;
                } else {
                    gaps.recordValue(Math.min(gaps.getHighestTrackableValue(), (now - lastTokenNanos) / 1000));
                }
                lastTokenNanos = now;
            }
            return true;
        }

        private void processDocument(String text) throws IOException {
            firstTokenNanos = System.nanoTime();
            checker.checkMarkers(text);
            body = text;
            if (entry.kind() == RequestKind.COMPLETION) {
                checker.checkText(responseText(JSON.readTree(text)));
                fault = checker.fault(true);
            } else if (checker.fault(true).equals(ResponseChecker.FOREIGN)) {
                fault = ResponseChecker.FOREIGN;
            }
            setDefaultOutcome();
        }

        private void setDefaultOutcome() {
            if (fault.equals(RequestRecord.NO_FAULT) && outcome.equals(UNKNOWN_OUTCOME)) {
                outcome = "completed";
            }
        }

        private void recordError(String text) {
            fault = "status-" + status;
            try {
                JsonNode error = JSON.readTree(text).path("error");
                fault = error.path("code").asText(fault);
                outcome = error.path("outcome").asText(outcome);
            } catch (JsonProcessingException e) {
                // The body is not JSON; the status code is reported as the fault.
            }
        }

        private CallResult finish(long startEpochMillis) {
            long now = System.nanoTime();
            RequestRecord record = new RequestRecord(
                    startEpochMillis,
                    entry.customer(),
                    entry.service(),
                    entry.kind().text(),
                    entry.promptTokens(),
                    checker.tokens(),
                    status,
                    outcome,
                    expired ? TIMEOUT : fault,
                    firstTokenNanos < 0 ? -1 : toMillis(firstTokenNanos - startNanos),
                    gaps.getTotalCount() == 0 ? -1 : gaps.getValueAtPercentile(95) / 1e3,
                    toMillis(now - startNanos));
            return new CallResult(record, gaps, body);
        }
    }

    /** Sends health checks to all targets, so that the results exclude the start-up cost of the client itself. */
    void warmUp(List<URI> targets) throws InterruptedException {
        for (int i = 0; i < WARM_UP_CALLS; i++) {
            for (URI target : targets) {
                try {
                    HttpRequest request = HttpRequest.newBuilder(target.resolve("/healthz"))
                            .timeout(CONNECT_TIMEOUT)
                            .build();
                    http.send(request, BodyHandlers.ofByteArray());
                    JSON.readTree("{\"choices\":[{\"text\":\"t0 \"}]}");
                } catch (IOException e) {
                    // The run reports targets that do not respond.
                }
            }
        }
    }

    /** Sends the request; times in the result are measured from its intended start. */
    CallResult call(URI target, TraceEntry entry, int index, long startNanos, long startEpochMillis)
            throws InterruptedException {
        String id = entry.key().isEmpty() ? Long.toHexString(seed) + "-" + index : entry.key();
        ActiveCall call = new ActiveCall(entry, "marker-" + id + "-" + runId, startNanos);
        try {
            call.run(buildRequest(target, entry, call.marker));
        } catch (HttpTimeoutException e) {
            call.fault = TIMEOUT;
        } catch (JsonProcessingException e) {
            call.fault = ResponseChecker.INCOMPLETE;
        } catch (IOException e) {
            call.fault = CONNECTION;
        }
        return call.finish(startEpochMillis);
    }

    private HttpRequest buildRequest(URI target, TraceEntry entry, String marker) {
        String path =
                entry.kind().isCompletion() ? "/v1/completions" : "/services/" + entry.service() + "/" + entry.path();
        HttpRequest.Builder request = HttpRequest.newBuilder(target.resolve(path))
                .timeout(Duration.ofMillis(entry.deadlineMs() + ABORT_GRACE_MILLIS))
                .header("Authorization", "Bearer " + entry.customer())
                .header("Jujuberouter-Deadline-Ms", Long.toString(entry.deadlineMs()));
        if (!entry.key().isEmpty()) {
            request.header("Idempotency-Key", entry.key() + "-" + runId);
        }
        if (entry.kind() == RequestKind.GET) {
            return request.GET().build();
        }
        return request.header("Content-Type", "application/json")
                .POST(requestBody(entry, marker))
                .build();
    }

    private BodyPublisher requestBody(TraceEntry entry, String marker) {
        if (entry.kind() == RequestKind.POST) {
            return BodyPublishers.ofString("{\"reference\":\"" + marker + "\",\"amount\":1}");
        }
        String model = models.getOrDefault(entry.service(), entry.service());
        long length = PromptBody.of(entry, model, seed, marker).length();
        return BodyPublishers.fromPublisher(
                BodyPublishers.ofInputStream(() -> PromptBody.of(entry, model, seed, marker)), length);
    }

    /** Returns the text of a completion or chat completion, streamed or not. */
    private static String responseText(JsonNode event) {
        JsonNode choice = event.path("choices").path(0);
        if (choice.has("text")) {
            return choice.path("text").asText();
        }
        return choice.path(choice.has("delta") ? "delta" : "message")
                .path("content")
                .asText("");
    }

    private static String readText(InputStream in) throws IOException {
        return new String(in.readNBytes(MAX_BODY_BYTES), StandardCharsets.UTF_8);
    }

    private static double toMillis(long nanos) {
        return Math.round(nanos / 1e3) / 1e3;
    }

    @Override
    public void close() {
        timer.shutdownNow();
        http.shutdownNow();
    }
}
