package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A worker that is called over HTTP: accepts each job with 202, runs it for some time and reports
 * its end by a callback, which it tries until it is answered, ten times at most.
 */
final class PushWorker {
  /** Hears what the worker does. */
  interface Listener {
    /** A job has come with its last byte. */
    default void received(PushWorker worker, String call, String target, String body) {}

    /** The callback {@code done} of a job was answered 200 or 204. */
    default void reported(PushWorker worker, String call) {}
  }

  private static final int MAX_TRIES = 10;
  private static final long RETRY_MS = 100;

  final String id;
  private final int callbackPort;
  private final long workMs;
  private final boolean tellsStart;
  private final Listener listener;
  private final HttpServer server;
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(16, this::thread);

  PushWorker(String id, int callbackPort, long workMs, boolean tellsStart, Listener listener)
      throws IOException {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    this.id = id;
    this.callbackPort = callbackPort;
    this.workMs = workMs;
    this.tellsStart = tellsStart;
    this.listener = listener;
    server = HttpServer.create(Kit.loopback(0), 64);
    server.setExecutor(Executors.newCachedThreadPool(this::thread));
    server.createContext("/", this::answer);
    server.start();
  }

  private Thread thread(Runnable task) {
    Thread thread = new Thread(task, id);
    thread.setDaemon(true);
    return thread;
  }

  int port() {
    return server.getAddress().getPort();
  }

  private void answer(HttpExchange exchange) throws IOException {
    String body =
        new String(
            exchange.getRequestBody().readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
    String path = exchange.getRequestURI().getPath();
    int status = 200;
    if (path.equals("/stats")) {
      exchange.getResponseHeaders().set("X-Load-Report", "TEXT queue=0, inflight=0, x0=4");
    } else if (exchange.getRequestMethod().equals("POST")) {
      String call = exchange.getRequestHeaders().getFirst("X-Call-Id");
      listener.received(this, call, exchange.getRequestURI().toString(), body);
      timer.schedule(() -> done(call, body), workMs, TimeUnit.MILLISECONDS);
      status = 202;
    }
    exchange.sendResponseHeaders(status, -1);
    exchange.close();
    if (status == 202 && tellsStart) {
      report(call(exchange), "started", "");
    }
  }

  private static String call(HttpExchange exchange) {
    return exchange.getRequestHeaders().getFirst("X-Call-Id");
  }

  private void done(String call, String body) {
    if (report(call, "done", "made " + body + " by " + id)) {
      listener.reported(this, call);
    }
  }

  private boolean report(String call, String state, String result) {
    JsonNode news =
        Kit.object().put("id", call).put("from", id).put("state", state).put("result", result);
    for (int i = 0; i < MAX_TRIES; i++) {
      try {
        Kit.Answer answer =
            Kit.http(callbackPort, "POST", "/_jobs/news", Map.of(), news.toString(), 3_000);
        if (answer.status() == 200 || answer.status() == 204) {
          return true;
        }
      } catch (IOException e) {
        // It is tried again.
      }
      Kit.pause(RETRY_MS);
    }
    return false;
  }
}
