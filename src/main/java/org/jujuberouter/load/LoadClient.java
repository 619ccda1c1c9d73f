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

/** Makes one call as the trace entry says and checks its answer. */
final class LoadClient implements AutoCloseable {
    static final String TIMEOUT = "timeout";
    static final String CONNECTION = "connection";

    /** How long after its deadline a call may still end by itself before the tool ends it. */
    private static final long GRACE_MILLIS = 5000;

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    /** A plain service answers in one small document; a larger one is cut and counts as incomplete. */
    private static final int MAX_BODY_BYTES = 64 << 20;

    private static final String KEEP_ALIVE_PROPERTY = "jdk.httpclient.keepalive.timeout";
    private static final int WARM_UP_CALLS = 20;
    private static final String UNKNOWN = "unknown";
    private static final ObjectMapper JSON = new ObjectMapper();

    static {
        // Servers close idle connections, usually after 30 s; a call sent on such a connection would count as a fault.
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

    /** A call that has ended. */
    record Exchange(RequestRecord record, Histogram gapMicros, String body) {}

    /** A call under way, with what has been seen of it. */
    private final class Call {
        private final TraceEntry entry;
        private final String marker;
        private final AnswerCheck check;
        private final long startNanos;
        private final Histogram gaps = new Histogram(3_600_000_000L, 2);
        private int status;
        private String outcome = UNKNOWN;
        private String fault = RequestRecord.NO_FAULT;
        private String body = "";
        private long firstNanos = -1;
        private long lastNanos;
        private volatile boolean expired;

        private Call(TraceEntry entry, String marker, long startNanos) {
            this.entry = entry;
            this.marker = marker;
            this.check = AnswerCheck.of(marker, entry.answerTokens());
            this.startNanos = startNanos;
        }

        private void run(HttpRequest request) throws IOException, InterruptedException {
            HttpResponse<InputStream> response = http.send(request, BodyHandlers.ofInputStream());
            status = response.statusCode();
            outcome = response.headers().firstValue("Jujuberouter-Outcome").orElse(UNKNOWN);
            long left = entry.deadlineMs() + GRACE_MILLIS - (System.nanoTime() - startNanos) / 1_000_000;
            InputStream raw = response.body();
            ScheduledFuture<?> end = timer.schedule(() -> expire(raw), Math.max(1, left), TimeUnit.MILLISECONDS);
            try (InputStream in = PacedInputStream.of(raw, entry.readerBytesPerSecond())) {
                if (status < 200 || status >= 300) {
                    error(text(in));
                } else if (entry.kind() == RequestKind.STREAM) {
                    events(in);
                } else {
                    whole(text(in));
                }
            } finally {
                end.cancel(false);
            }
        }

        private void expire(InputStream in) {
            expired = true;
            try {
                in.close();
            } catch (IOException e) {
                // The stream is given up either way.
            }
        }

        private void events(InputStream in) throws IOException {
            BufferedReader lines = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1024);
            boolean done = false;
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                if (!line.startsWith("data:")) {
                    continue;
                }
                String data = line.substring("data:".length()).strip();
                if (data.equals("[DONE]")) {
                    done = true;
                    break;
                }
                if (!event(data)) {
                    return;
                }
            }
            fault = check.fault(done);
            settle();
        }

        /** Returns false when the event ends the stream with an error. */
        private boolean event(String data) throws IOException {
            JsonNode event = JSON.readTree(data);
            if (event.has("error")) {
                error(data);
                return false;
            }
            check.event(data);
            if (check.text(answerText(event)) > 0) {
                long now = System.nanoTime();
                if (firstNanos < 0) {
                    firstNanos = now;
                } else {
                    gaps.recordValue(Math.min(gaps.getHighestTrackableValue(), (now - lastNanos) / 1000));
                }
                lastNanos = now;
            }
            return true;
        }

        private void whole(String text) throws IOException {
            firstNanos = System.nanoTime();
            check.event(text);
            body = text;
            if (entry.kind() == RequestKind.COMPLETION) {
                check.text(answerText(JSON.readTree(text)));
                fault = check.fault(true);
            } else if (check.fault(true).equals(AnswerCheck.FOREIGN)) {
                fault = AnswerCheck.FOREIGN;
            }
            settle();
        }

        private void settle() {
            if (fault.equals(RequestRecord.NO_FAULT) && outcome.equals(UNKNOWN)) {
                outcome = "completed";
            }
        }

        private void error(String text) {
            fault = "status-" + status;
            try {
                JsonNode error = JSON.readTree(text).path("error");
                fault = error.path("code").asText(fault);
                outcome = error.path("outcome").asText(outcome);
            } catch (JsonProcessingException e) {
                // The status alone names the fault.
            }
        }

        private Exchange end(long startEpochMillis) {
            long now = System.nanoTime();
            RequestRecord record = new RequestRecord(
                    startEpochMillis,
                    entry.customer(),
                    entry.service(),
                    entry.kind().text(),
                    entry.promptTokens(),
                    check.tokens(),
                    status,
                    outcome,
                    expired ? TIMEOUT : fault,
                    firstNanos < 0 ? -1 : millis(firstNanos - startNanos),
                    gaps.getTotalCount() == 0 ? -1 : gaps.getValueAtPercentile(95) / 1e3,
                    millis(now - startNanos));
            return new Exchange(record, gaps, body);
        }
    }

    /** Asks for the health of each target, so that the cost of the tool's first calls is not part of the results. */
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
                    // The run itself reports a target that does not answer.
                }
            }
        }
    }

    /** Makes the call; times count from the intended start. */
    Exchange call(URI target, TraceEntry entry, int index, long startNanos, long startEpochMillis)
            throws InterruptedException {
        String id = entry.key().isEmpty() ? Long.toHexString(seed) + "-" + index : entry.key();
        Call call = new Call(entry, "marker-" + id + "-" + runId, startNanos);
        try {
            call.run(request(target, entry, call.marker));
        } catch (HttpTimeoutException e) {
            call.fault = TIMEOUT;
        } catch (JsonProcessingException e) {
            call.fault = AnswerCheck.INCOMPLETE;
        } catch (IOException e) {
            call.fault = CONNECTION;
        }
        return call.end(startEpochMillis);
    }

    private HttpRequest request(URI target, TraceEntry entry, String marker) {
        String path =
                entry.kind().isCompletion() ? "/v1/completions" : "/services/" + entry.service() + "/" + entry.path();
        HttpRequest.Builder request = HttpRequest.newBuilder(target.resolve(path))
                .timeout(Duration.ofMillis(entry.deadlineMs() + GRACE_MILLIS))
                .header("Authorization", "Bearer " + entry.customer())
                .header("Jujuberouter-Deadline-Ms", Long.toString(entry.deadlineMs()));
        if (!entry.key().isEmpty()) {
            request.header("Idempotency-Key", entry.key() + "-" + runId);
        }
        if (entry.kind() == RequestKind.GET) {
            return request.GET().build();
        }
        return request.header("Content-Type", "application/json")
                .POST(body(entry, marker))
                .build();
    }

    private BodyPublisher body(TraceEntry entry, String marker) {
        if (entry.kind() == RequestKind.POST) {
            return BodyPublishers.ofString("{\"reference\":\"" + marker + "\",\"amount\":1}");
        }
        String model = models.getOrDefault(entry.service(), entry.service());
        long length = PromptBody.of(entry, model, seed, marker).length();
        return BodyPublishers.fromPublisher(
                BodyPublishers.ofInputStream(() -> PromptBody.of(entry, model, seed, marker)), length);
    }

    /** Finds the text in a completion, a streamed completion or a streamed chat completion. */
    private static String answerText(JsonNode event) {
        JsonNode choice = event.path("choices").path(0);
        if (choice.has("text")) {
            return choice.path("text").asText();
        }
        return choice.path(choice.has("delta") ? "delta" : "message")
                .path("content")
                .asText("");
    }

    private static String text(InputStream in) throws IOException {
        return new String(in.readNBytes(MAX_BODY_BYTES), StandardCharsets.UTF_8);
    }

    private static double millis(long nanos) {
        return Math.round(nanos / 1e3) / 1e3;
    }

    @Override
    public void close() {
        timer.shutdownNow();
        http.shutdownNow();
    }
}
