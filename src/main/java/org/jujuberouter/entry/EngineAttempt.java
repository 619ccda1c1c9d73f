package org.jujuberouter.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.admission.PermitEnd;
import org.jujuberouter.engine.EngineCall;
import org.jujuberouter.engine.EngineEvent;
import org.jujuberouter.engine.EngineException;
import org.jujuberouter.error.ErrorKind;
import org.jujuberouter.error.ExecutionOutcome;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.memory.StreamAccount;
import org.jujuberouter.outcome.Deadline;
import org.jujuberouter.outcome.RequestDecision;
import org.jujuberouter.outcome.RequestEvent;
import org.jujuberouter.outcome.RequestLifecycle;
import org.jujuberouter.routing.SentRequest;
import org.jujuberouter.stream.ProbeReply;
import org.jujuberouter.stream.ResponseStream;
import org.jujuberouter.stream.StreamDecision;

/**
 * One attempt to run a request at one engine: sends the request, validates the response stream and forwards it to the
 * caller.
 *
 * <p>The thread of the caller's exchange processes events that a reader thread per connection enqueues. A stalled or
 * lost connection is replaced by a new one to the same engine as long as the engine still knows the request; otherwise
 * the lifecycle decides how to proceed.
 */
final class EngineAttempt {
    private static final Logger LOG = System.getLogger(EngineAttempt.class.getName());
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(900);
    private static final Duration FINAL_EVENT_WAIT = Duration.ofSeconds(2);
    private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(2);
    private static final int STATUS_NOT_FOUND = 404;
    private static final long MAX_POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final InstanceRuntime runtime;
    private final CompletionCall call;
    private final RequestLifecycle lifecycle;
    private final AttemptOutput output;
    private final InferenceExecution.PermittedAttempt permittedAttempt;
    private final Deadline deadline;
    private final RequestValidator.ValidatedRequest validated;
    private final RequestId attemptId;
    private final int number;
    private final ResponseStream responseStream;
    private final BlockingQueue<EngineReader.Event> events = new LinkedBlockingQueue<>();
    private final Semaphore wakeSignal = new Semaphore(0);
    private EngineCall engineCall;
    private EngineReader.Source source;
    private EngineReader reader;
    private StreamAccount account;
    private SentRequest sentRequest;
    private int connections;
    private boolean sent;
    private boolean completed;
    private boolean refused;
    private boolean failed;

    private EngineAttempt(
            InstanceRuntime runtime,
            CompletionCall call,
            InferenceExecution.AdmittedRequest admitted,
            RequestLifecycle lifecycle,
            AttemptOutput output,
            InferenceExecution.PermittedAttempt permittedAttempt) {
        this.runtime = runtime;
        this.call = call;
        this.lifecycle = lifecycle;
        this.output = output;
        this.permittedAttempt = permittedAttempt;
        this.deadline = admitted.deadline();
        this.validated = admitted.validated();
        this.number = lifecycle.attempt();
        this.attemptId = new AttemptId(
                        permittedAttempt.run(),
                        permittedAttempt.acquired().permit().fence(),
                        permittedAttempt.promptClass())
                .toRequestId();
        this.responseStream = ResponseStream.open(attemptId, runtime.ticker);
    }

    /** Where the response goes: the writer, the text that all attempts have delivered, and the observer. */
    record AttemptOutput(ResponseWriter writer, StringBuilder text, RequestObserver observer) {}

    static EngineAttempt of(
            InstanceRuntime runtime,
            CompletionCall call,
            InferenceExecution.AdmittedRequest admitted,
            RequestLifecycle lifecycle,
            AttemptOutput output,
            InferenceExecution.PermittedAttempt permittedAttempt) {
        return new EngineAttempt(runtime, call, admitted, lifecycle, output, permittedAttempt);
    }

    RequestDecision run(String address, SentRequest recordedRequest) throws IOException, InterruptedException {
        sentRequest = recordedRequest;
        Optional<StreamAccount> opened = runtime.memoryBudget.open(validated.customer(), wakeSignal::release);
        if (opened.isEmpty()) {
            return lifecycle.on(new RequestEvent.Refused(ErrorKind.NO_CAPACITY));
        }
        try (StreamAccount openedAccount = opened.get()) {
            account = openedAccount;
            ObjectNode body = output.text().isEmpty()
                    ? call.engineBody()
                    : call.continuationBody(
                            output.text().toString(), output.observer().tokens());
            engineCall = EngineCall.of(
                    attemptId,
                    call.path(),
                    body,
                    permittedAttempt.promptClass().ordinal(),
                    deadline.remaining().plusMillis(1));
            source = new EngineReader.Source(
                    runtime.engineClient,
                    address,
                    deadline,
                    responseStream,
                    account,
                    wakeSignal,
                    events,
                    runtime.ticker);
            runtime.permitClient.started(
                    permittedAttempt.acquired().endpoint(),
                    permittedAttempt.run().toRequestId());
            RequestDecision written = lifecycle.on(new RequestEvent.FirstByteWritten(number));
            if (!(written instanceof RequestDecision.Wait)) {
                return written;
            }
            sent = true;
            connections = 1;
            reader = EngineReader.submit(source, engineCall);
            return processEvents();
        } finally {
            cleanUp();
        }
    }

    private RequestDecision processEvents() throws IOException, InterruptedException {
        Optional<RequestDecision> decision = Optional.empty();
        while (decision.isEmpty()) {
            EngineReader.Event event = events.poll(waitNanos(), TimeUnit.NANOSECONDS);
            if (deadline.passed()) {
                decision = Optional.of(lifecycle.on(new RequestEvent.DeadlinePassed()));
            } else if (event == null) {
                decision = onStream(responseStream.tick());
            } else {
                decision = onEvent(event);
            }
        }
        return decision.get();
    }

    private long waitNanos() {
        return Math.min(MAX_POLL_NANOS, Math.max(1, deadline.atNanos() - runtime.ticker.nanos()));
    }

    private Optional<RequestDecision> onEvent(EngineReader.Event event) throws IOException {
        return switch (event) {
            case EngineReader.Event.Opened _ -> Optional.empty();
            case EngineReader.Event.Fragment fragment -> onFragment(fragment);
            case EngineReader.Event.Ended ended -> onStream(responseStream.end(attemptId, ended.length()));
            case EngineReader.Event.Probed probed -> onStream(probed.decision());
            case EngineReader.Event.Failed failure ->
                failure.reader() == reader ? onFailure(failure.cause()) : Optional.empty();
        };
    }

    private Optional<RequestDecision> onFragment(EngineReader.Event.Fragment fragment) throws IOException {
        EngineEvent.Chunk chunk = fragment.chunk();
        try {
            StreamDecision decision = responseStream.chunk(
                    chunk.attempt(), chunk.offset(), chunk.text().length());
            if (decision instanceof StreamDecision.Deliver deliver) {
                deliver(chunk, deliver.skip());
            } else {
                Optional<RequestDecision> next = onStream(decision);
                if (next.isPresent()) {
                    return next;
                }
            }
        } finally {
            account.release(fragment.bytes());
        }
        boolean last = chunk.finishReason() != null && chunk.attempt().equals(attemptId);
        return last
                ? onStream(responseStream.end(
                        attemptId, chunk.offset() + chunk.text().length()))
                : Optional.empty();
    }

    private void deliver(EngineEvent.Chunk chunk, int skip) throws IOException {
        if (output.observer().firstTokenNanos() < 0) {
            runtime.permitClient.prefillDone(
                    permittedAttempt.acquired().endpoint(),
                    permittedAttempt.run().toRequestId());
            sentRequest.prefilled();
        }
        String fragment = chunk.text().substring(skip);
        output.text().append(fragment);
        output.observer().recordTokens(chunk.tokens());
        lifecycle.on(new RequestEvent.ResponseStarted(number, output.text().length()));
        output.writer().write(fragment, chunk.tokens(), chunk.finishReason());
    }

    private Optional<RequestDecision> onStream(StreamDecision decision) {
        switch (decision) {
            case StreamDecision.Complete _ -> {
                completed = true;
                return Optional.of(lifecycle.on(new RequestEvent.Finished(number)));
            }
            case StreamDecision.Probe probe -> probe(probe.number());
            case StreamDecision.ResumeFrom resume -> {
                LOG.log(Level.INFO, "[stream] Resuming attempt {0} at offset {1}", attemptId, resume.offset());
                reader.abandon();
                connections++;
                reader = EngineReader.resume(source, engineCall, resume.offset());
            }
            case StreamDecision.ContinueElsewhere _ -> {
                failed = true;
                return Optional.of(lifecycle.on(new RequestEvent.ConnectionLost(number)));
            }
            case StreamDecision.Deliver _,
                    StreamDecision.Drop _,
                    StreamDecision.WaitPrefill _,
                    StreamDecision.Idle _ -> {
                // The connection stays as it is.
            }
        }
        return Optional.empty();
    }

    /**
     * Only a failure of the first connection can prove that the request did not run; later ones resume a sent request.
     */
    private Optional<RequestDecision> onFailure(EngineException e) {
        LOG.log(Level.INFO, "[stream] Attempt {0} failed: {1}", attemptId, e.getMessage());
        boolean first = connections == 1;
        return switch (e.progress()) {
            case NOT_SENT -> {
                failed = true;
                yield first ? notStarted(new RequestEvent.ConnectionRefused(number)) : endpointDown();
            }
            case REFUSED -> {
                refused = first;
                yield first ? notStarted(new RequestEvent.ConfirmedNotStarted(number)) : endpointDown();
            }
            case SENT -> e.status() == STATUS_NOT_FOUND ? endpointDown() : onStream(responseStream.connectionLost());
        };
    }

    private Optional<RequestDecision> notStarted(RequestEvent event) {
        responseStream.abandon();
        return Optional.of(lifecycle.on(event));
    }

    private Optional<RequestDecision> endpointDown() {
        failed = true;
        responseStream.abandon();
        return Optional.of(lifecycle.on(new RequestEvent.EndpointDown(number)));
    }

    private void probe(long probeNumber) {
        EndpointId endpoint = permittedAttempt.acquired().endpoint();
        Thread.ofVirtual().name("engine-probe-" + attemptId).start(() -> {
            ProbeReply reply;
            try {
                reply = toProbeReply(runtime.engineClient.status(source.address(), attemptId, PROBE_TIMEOUT));
            } catch (EngineException e) {
                LOG.log(Level.DEBUG, "[stream] Probe of endpoint {0} failed: {1}", endpoint, e.getMessage());
                reply = new ProbeReply.NoReply();
            }
            StreamDecision decision = responseStream.probeReply(probeNumber, reply);
            events.add(new EngineReader.Event.Probed(reader, decision));
        });
    }

    private static ProbeReply toProbeReply(JsonNode status) {
        long offset = status.path("offset").asLong();
        return switch (status.path("state").asText()) {
            case "waiting", "prefill" -> new ProbeReply.Prefill();
            case "decoding" -> new ProbeReply.Generating(offset);
            case "completed" -> new ProbeReply.Ended(offset);
            default -> new ProbeReply.Unknown();
        };
    }

    /** Stops reading and cancels the request at the engine unless it completed. */
    private void cleanUp() {
        if (reader != null && completed) {
            // The engine keeps the last chunk until its final event is sent, so the reader waits for that event.
            EngineReader last = reader;
            Thread.ofVirtual().name("engine-end-" + attemptId).start(() -> last.abandonAfter(FINAL_EVENT_WAIT));
        } else if (reader != null) {
            reader.abandon();
        }
        if (sent && !completed) {
            Thread.ofVirtual().name("engine-cancel-" + attemptId).start(() -> {
                try {
                    runtime.engineClient.cancel(source.address(), attemptId, CANCEL_TIMEOUT);
                } catch (EngineException e) {
                    // The endpoint's owner finds the orphaned request in the engine's list and cancels it.
                    LOG.log(Level.DEBUG, "[stream] Failed to cancel attempt {0}: {1}", attemptId, e.getMessage());
                }
            });
        }
    }

    /** Returns how the use of the permit ended, given the decision of the lifecycle. */
    PermitEnd permitEnd(RequestDecision decision) {
        if (decision instanceof RequestDecision.Finish f && f.outcome() == ExecutionOutcome.COMPLETED) {
            return PermitEnd.COMPLETED;
        }
        if (!sent || refused) {
            return PermitEnd.NOT_SENT;
        }
        return failed ? PermitEnd.FAILED : PermitEnd.ABANDONED;
    }
}
