package org.jujuberouter.entry;

import java.io.IOException;
import org.jujuberouter.engine.EngineException;
import org.jujuberouter.engine.PlainAnswer;
import org.jujuberouter.engine.PlainCall;
import org.jujuberouter.engine.PlainClient;
import org.jujuberouter.error.ErrorKind;
import org.jujuberouter.error.JujuberouterException;
import org.jujuberouter.platform.ListedMember;

/** Passes calls on to plain services; one attempt each. */
final class ServicesHandler implements CallerHttp.Handler {
    static final String PREFIX = "/services/";

    private final CallerGate gate;
    private final EndpointDirectory directory;
    private final PlainClient client;
    private final InFlight inFlight;

    private ServicesHandler(CallerGate gate, EndpointDirectory directory, PlainClient client, InFlight inFlight) {
        this.gate = gate;
        this.directory = directory;
        this.client = client;
        this.inFlight = inFlight;
    }

    static ServicesHandler create(CallerGate gate, EndpointDirectory directory, PlainClient client, InFlight inFlight) {
        return new ServicesHandler(gate, directory, client, inFlight);
    }

    @Override
    public void handle(CallerExchange exchange) throws JujuberouterException, IOException {
        CallerGate.Entered entered = gate.enter(exchange, null);
        String rest = exchange.pathAndQuery().substring(PREFIX.length());
        int slash = rest.indexOf('/');
        String service = slash < 0 ? rest : rest.substring(0, slash);
        String path = slash < 0 ? "/" : rest.substring(slash);
        ListedMember endpoint = inFlight.least(directory.endpointsOf(service))
                .orElseThrow(() -> JujuberouterException.notRun(ErrorKind.UNKNOWN_SERVICE, service));
        PlainCall call = new PlainCall(
                entered.id(),
                exchange.method(),
                path,
                exchange.header("Content-Type").orElse(null),
                entered.key().orElse(null),
                entered.body());
        inFlight.add(endpoint.name(), 1);
        try {
            PlainAnswer answer = client.call(endpoint.address(), call, entered.timeLeft());
            exchange.send(answer.status(), answer.contentType(), answer.body());
        } catch (EngineException e) {
            throw e.progress() == EngineException.Progress.SENT
                    ? JujuberouterException.mayHaveRun(ErrorKind.ENDPOINT_FAILED, e, endpoint.name(), e.getMessage())
                    : JujuberouterException.notRun(ErrorKind.ENDPOINT_FAILED, endpoint.name(), e.getMessage());
        } finally {
            inFlight.add(endpoint.name(), -1);
        }
    }
}
