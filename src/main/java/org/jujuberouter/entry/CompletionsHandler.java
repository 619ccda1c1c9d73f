package org.jujuberouter.entry;

import java.io.IOException;
import org.jujuberouter.engine.EngineCall;
import org.jujuberouter.engine.EngineClient;
import org.jujuberouter.engine.EngineEvent;
import org.jujuberouter.engine.EngineException;
import org.jujuberouter.engine.EngineStream;
import org.jujuberouter.error.ErrorKind;
import org.jujuberouter.error.JujuberouterException;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.platform.ListedMember;

/** Serves the completions protocol: one attempt at the endpoint with the fewest requests of this instance. */
final class CompletionsHandler implements CallerHttp.Handler {
    private final boolean chat;
    private final CallerGate gate;
    private final EndpointDirectory directory;
    private final EngineClient engines;
    private final InFlight inFlight;

    private CompletionsHandler(
            boolean chat, CallerGate gate, EndpointDirectory directory, EngineClient engines, InFlight inFlight) {
        this.chat = chat;
        this.gate = gate;
        this.directory = directory;
        this.engines = engines;
        this.inFlight = inFlight;
    }

    static CompletionsHandler create(
            boolean chat, CallerGate gate, EndpointDirectory directory, EngineClient engines, InFlight inFlight) {
        return new CompletionsHandler(chat, gate, directory, engines, inFlight);
    }

    @Override
    public void handle(CallerExchange exchange) throws JujuberouterException, IOException {
        CallerGate.Entered entered = gate.enter(exchange, "POST");
        CompletionCall call = CompletionCall.parse(chat, entered.body());
        ListedMember endpoint = inFlight.least(directory.endpoints(ListedMember.Role.ENGINE))
                .orElseThrow(() -> JujuberouterException.notRun(
                        ErrorKind.NO_CAPACITY, call.model().value()));
        inFlight.add(endpoint.name(), 1);
        EngineCall engineCall = EngineCall.of(entered.id(), call.path(), call.engineBody(), 0, entered.timeLeft());
        try (EngineStream stream = engines.submit(endpoint.address(), engineCall)) {
            relay(exchange, call, entered.id(), stream);
        } catch (EngineException e) {
            throw failure(endpoint, e);
        } finally {
            inFlight.add(endpoint.name(), -1);
        }
    }

    private static void relay(CallerExchange exchange, CompletionCall call, RequestId id, EngineStream stream)
            throws IOException, EngineException {
        AnswerWriter writer = AnswerWriter.of(exchange, call, id);
        while (true) {
            switch (stream.next()) {
                case EngineEvent.Chunk chunk -> writer.write(chunk.text(), chunk.tokens(), chunk.finishReason());
                case EngineEvent.Failure failure ->
                    throw EngineException.broken("engine", new IOException(failure.message()));
                case EngineEvent.End _ -> {
                    writer.finish();
                    return;
                }
            }
        }
    }

    private static JujuberouterException failure(ListedMember endpoint, EngineException e) {
        return e.progress() == EngineException.Progress.SENT
                ? JujuberouterException.mayHaveRun(ErrorKind.ENDPOINT_FAILED, e, endpoint.name(), e.getMessage())
                : JujuberouterException.notRun(ErrorKind.ENDPOINT_FAILED, endpoint.name(), e.getMessage());
    }
}
