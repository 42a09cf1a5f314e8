package loomreel.ops;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import loomreel.http.BadMessageException;
import loomreel.http.Heads;
import loomreel.http.Message;
import loomreel.net.Connection;
import loomreel.net.EventLoop;

/** One call of an operator's: it is answered at once, and the connection ends. */
final class OpsConnection extends Connection {
    /** How long the call may take to come in, and then the other side's close. */
    private static final long PATIENCE = 2_000_000;
    private static final JsonFactory JSON = new JsonFactory();

    private final OpsServer server;
    private boolean answered;
    private EventLoop.Timer timer;

    OpsConnection(EventLoop loop, SocketChannel channel, OpsServer server) throws IOException {
        super(loop, channel, true, true);
        this.server = server;
        timer = loop.at(loop.now() + PATIENCE, () -> answer(408, ""));
    }

    @Override
    protected boolean takesMore() {
        return !answered;
    }

    @Override
    protected void received(Message message) {
        String body = new String(message.body().toArray(), StandardCharsets.UTF_8).strip();
        message.body().release();
        boolean asks = message.method().equals("GET");
        boolean tells = message.method().equals("POST");
        switch (message.target()) {
            case "/ops/readiness" -> yes(asks, server.operations.isReady() ? 200 : 503, "");
            case "/ops/stats" -> yes(asks, 200, json(server.operations.figures()));
            default -> answer(404, "");
        }
    }

    /** Answers a call, if its method was the right one. */
    private void yes(boolean method, int status, String body) {
        answer(method ? status : 405, method ? body : "");
    }

    private static String json(Map<?, ?> figures) {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            write(json, figures);
        } catch (IOException e) {
            throw new IllegalStateException("memory does not fail", e);
        }
        return text.toString(StandardCharsets.UTF_8);
    }

    private static void write(JsonGenerator json, Map<?, ?> figures) throws IOException {
        json.writeStartObject();
        for (Map.Entry<?, ?> figure : figures.entrySet()) {
            json.writeFieldName(figure.getKey().toString());
            if (figure.getValue() instanceof Map<?, ?> more) {
                write(json, more);
            } else {
                json.writeNumber(((Number) figure.getValue()).longValue());
            }
        }
        json.writeEndObject();
    }

    private void answer(int status, String body) {
        if (answered) {
            close();
            return;
        }
        answered = true;
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        out.append(Heads.response(status, bytes.length, "Connection: close"));
        out.append(bytes);
        timer.cancel();
        timer = loop.at(loop.now() + PATIENCE, this::close);
        flush();
    }

    @Override
    protected void malformed(BadMessageException why) {
        answer(why.status, "");
    }

    /** Closing at once would reset the connection if anything has come unread, and the answer could be lost. */
    @Override
    protected void flushed() {
        if (answered) {
            endOutput();
        }
    }

    @Override
    protected void broken() { }

    @Override
    public void close() {
        if (!isClosed()) {
            super.close();
            timer.cancel();
            server.closed(this);
        }
    }
}
