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
 * One attempt of a request at one engine: sends it, checks what arrives, and passes it to the caller.
 *
 * <p>The thread of the caller's exchange runs this loop; a reader thread per connection feeds its queue. A silent or broken
 * connection is replaced by a new one to the same engine while the engine still knows the request; otherwise the lifecycle
 * decides how the request goes on.
 */
final class EngineAttempt {
    private static final Logger LOG = System.getLogger(EngineAttempt.class.getName());
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(900);
    private static final Duration FINAL_EVENT_WAIT = Duration.ofSeconds(2);
    private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(2);
    private static final int UNKNOWN_REQUEST = 404;
    private static final long MAX_POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final InstanceRuntime runtime;
    private final CompletionCall call;
    private final RequestLifecycle lifecycle;
    private final Output output;
    private final InferenceRun.Granted granted;
    private final Deadline deadline;
    private final CallerGate.Entered entered;
    private final RequestId attemptId;
    private final int number;
    private final ResponseStream answer;
    private final BlockingQueue<EngineReader.Event> queue = new LinkedBlockingQueue<>();
    private final Semaphore wake = new Semaphore(0);
    private EngineCall engineCall;
    private EngineReader.Source source;
    private EngineReader reader;
    private StreamAccount account;
    private SentRequest work;
    private int connections;
    private boolean sent;
    private boolean completed;
    private boolean refused;
    private boolean failed;

    private EngineAttempt(
            InstanceRuntime runtime,
            CompletionCall call,
            InferenceRun.Admitted admitted,
            RequestLifecycle lifecycle,
            Output output,
            InferenceRun.Granted granted) {
        this.runtime = runtime;
        this.call = call;
        this.lifecycle = lifecycle;
        this.output = output;
        this.granted = granted;
        this.deadline = admitted.deadline();
        this.entered = admitted.entered();
        this.number = lifecycle.attempt();
        this.attemptId = new AttemptId(granted.run(), granted.permit().permit().fence(), granted.lane()).toRequestId();
        this.answer = ResponseStream.open(attemptId, runtime.ticker);
    }

    /** Where the answer goes: the writer, the text so far over all attempts, and the observer. */
    record Output(AnswerWriter writer, StringBuilder text, RequestObserver observer) {}

    static EngineAttempt of(
            InstanceRuntime runtime,
            CompletionCall call,
            InferenceRun.Admitted admitted,
            RequestLifecycle lifecycle,
            Output output,
            InferenceRun.Granted granted) {
        return new EngineAttempt(runtime, call, admitted, lifecycle, output, granted);
    }

    RequestDecision run(String address, SentRequest sentWork) throws IOException, InterruptedException {
        work = sentWork;
        Optional<StreamAccount> opened = runtime.memory.open(entered.customer(), wake::release);
        if (opened.isEmpty()) {
            return lifecycle.on(new RequestEvent.Refused(ErrorKind.NO_CAPACITY));
        }
        try (StreamAccount own = opened.get()) {
            account = own;
            ObjectNode body = output.text().isEmpty()
                    ? call.engineBody()
                    : call.continuationBody(
                            output.text().toString(), output.observer().tokens());
            engineCall = EngineCall.of(
                    attemptId,
                    call.path(),
                    body,
                    granted.lane().ordinal(),
                    deadline.remaining().plusMillis(1));
            source = new EngineReader.Source(
                    runtime.engines, address, deadline, answer, account, wake, queue, runtime.ticker);
            runtime.broker.started(granted.permit().endpoint(), granted.run().toRequestId());
            RequestDecision written = lifecycle.on(new RequestEvent.FirstByteWritten(number));
            if (!(written instanceof RequestDecision.Wait)) {
                return written;
            }
            sent = true;
            connections = 1;
            reader = EngineReader.submit(source, engineCall);
            return pump();
        } finally {
            end();
        }
    }

    private RequestDecision pump() throws IOException, InterruptedException {
        Optional<RequestDecision> decision = Optional.empty();
        while (decision.isEmpty()) {
            EngineReader.Event event = queue.poll(waitNanos(), TimeUnit.NANOSECONDS);
            if (deadline.passed()) {
                decision = Optional.of(lifecycle.on(new RequestEvent.DeadlinePassed()));
            } else if (event == null) {
                decision = onStream(answer.tick());
            } else {
                decision = on(event);
            }
        }
        return decision.get();
    }

    private long waitNanos() {
        return Math.min(MAX_POLL_NANOS, Math.max(1, deadline.atNanos() - runtime.ticker.nanos()));
    }

    private Optional<RequestDecision> on(EngineReader.Event event) throws IOException {
        return switch (event) {
            case EngineReader.Event.Opened _ -> Optional.empty();
            case EngineReader.Event.Piece piece -> onPiece(piece);
            case EngineReader.Event.Ended ended -> onStream(answer.end(attemptId, ended.length()));
            case EngineReader.Event.Probed probed -> onStream(probed.decision());
            case EngineReader.Event.Failed failure ->
                failure.reader() == reader ? onFailure(failure.cause()) : Optional.empty();
        };
    }

    private Optional<RequestDecision> onPiece(EngineReader.Event.Piece piece) throws IOException {
        EngineEvent.Chunk chunk = piece.chunk();
        try {
            StreamDecision decision =
                    answer.chunk(chunk.attempt(), chunk.offset(), chunk.text().length());
            if (decision instanceof StreamDecision.Deliver deliver) {
                deliver(chunk, deliver.skip());
            } else {
                Optional<RequestDecision> next = onStream(decision);
                if (next.isPresent()) {
                    return next;
                }
            }
        } finally {
            account.release(piece.bytes());
        }
        boolean last = chunk.finishReason() != null && chunk.attempt().equals(attemptId);
        return last
                ? onStream(answer.end(attemptId, chunk.offset() + chunk.text().length()))
                : Optional.empty();
    }

    private void deliver(EngineEvent.Chunk chunk, int skip) throws IOException {
        if (output.observer().firstTokenNanos() < 0) {
            runtime.broker.prefillDone(
                    granted.permit().endpoint(), granted.run().toRequestId());
            work.prefilled();
        }
        String piece = chunk.text().substring(skip);
        output.text().append(piece);
        output.observer().delivered(chunk.tokens());
        lifecycle.on(new RequestEvent.ResponseStarted(number, output.text().length()));
        output.writer().write(piece, chunk.tokens(), chunk.finishReason());
    }

    private Optional<RequestDecision> onStream(StreamDecision decision) {
        switch (decision) {
            case StreamDecision.Complete _ -> {
                completed = true;
                return Optional.of(lifecycle.on(new RequestEvent.Finished(number)));
            }
            case StreamDecision.Probe probe -> probe(probe.number());
            case StreamDecision.ResumeFrom resume -> {
                LOG.log(Level.INFO, "[stream] Resuming {0} at {1}.", attemptId, resume.offset());
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
                // Nothing to do for the connection.
            }
        }
        return Optional.empty();
    }

    /** Only the first connection can prove that nothing ran; a later one resumes what was sent before. */
    private Optional<RequestDecision> onFailure(EngineException e) {
        LOG.log(Level.INFO, "[stream] Attempt {0} failed: {1}", attemptId, e.getMessage());
        boolean first = connections == 1;
        return switch (e.progress()) {
            case NOT_SENT -> {
                failed = true;
                yield first ? notStarted(new RequestEvent.ConnectionRefused(number)) : died();
            }
            case REFUSED -> {
                refused = first;
                yield first ? notStarted(new RequestEvent.ConfirmedNotStarted(number)) : died();
            }
            case SENT -> e.status() == UNKNOWN_REQUEST ? died() : onStream(answer.connectionLost());
        };
    }

    private Optional<RequestDecision> notStarted(RequestEvent event) {
        answer.abandon();
        return Optional.of(lifecycle.on(event));
    }

    private Optional<RequestDecision> died() {
        failed = true;
        answer.abandon();
        return Optional.of(lifecycle.on(new RequestEvent.EndpointDown(number)));
    }

    private void probe(long probeNumber) {
        EndpointId endpoint = granted.permit().endpoint();
        Thread.ofVirtual().name("engine-probe-" + attemptId).start(() -> {
            ProbeReply reply;
            try {
                reply = reply(runtime.engines.status(source.address(), attemptId, PROBE_TIMEOUT));
            } catch (EngineException e) {
                LOG.log(Level.DEBUG, "[stream] Probe of {0} got no answer: {1}", endpoint, e.getMessage());
                reply = new ProbeReply.NoReply();
            }
            StreamDecision decision = answer.probeReply(probeNumber, reply);
            queue.add(new EngineReader.Event.Probed(reader, decision));
        });
    }

    private static ProbeReply reply(JsonNode status) {
        long offset = status.path("offset").asLong();
        return switch (status.path("state").asText()) {
            case "waiting", "prefill" -> new ProbeReply.Prefill();
            case "decoding" -> new ProbeReply.Generating(offset);
            case "completed" -> new ProbeReply.Ended(offset);
            default -> new ProbeReply.Unknown();
        };
    }

    /** Stops reading and has the engine forget what this attempt may still hold there. */
    private void end() {
        if (reader != null && completed) {
            // The engine holds the last piece until it could send its final event, which the reader still takes.
            EngineReader last = reader;
            Thread.ofVirtual().name("engine-end-" + attemptId).start(() -> last.abandonAfter(FINAL_EVENT_WAIT));
        } else if (reader != null) {
            reader.abandon();
        }
        if (sent && !completed) {
            Thread.ofVirtual().name("engine-cancel-" + attemptId).start(() -> {
                try {
                    runtime.engines.cancel(source.address(), attemptId, CANCEL_TIMEOUT);
                } catch (EngineException e) {
                    // The endpoint's owner finds it in the engine's list and cancels it.
                    LOG.log(Level.DEBUG, "[stream] Cancel of {0} failed: {1}", attemptId, e.getMessage());
                }
            });
        }
    }

    /** Returns how the permit's use ended, given what the lifecycle decided. */
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
