package review2;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** Discovery, or the agent of a dispatcher: answers at once, or holds a watch until a change. */
final class Discovery {
  private static final int MAX_HOLD_MS = 60_000;

  private final HttpServer server;
  private final Map<String, ObjectNode> hosts = new LinkedHashMap<>();
  private int seq = 41;

  Discovery() throws IOException {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    server = HttpServer.create(Kit.loopback(0), 64);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "discovery");
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/registry/instances", this::answer);
    server.start();
  }

  int port() {
    return server.getAddress().getPort();
  }

  /** Lists a worker. */
  synchronized void add(String id, int port, String zone, int cell) {
    hosts.put(
        id,
        Kit.object()
            .put("host", id)
            .put("dial", "127.0.0.1:" + port)
            .put("site", zone)
            .put("class", "large")
            .put("block", cell)
            .put("health", "SERVING")
            .put("share", 1.0)
            .put("born_ms", 0));
    seq++;
    notifyAll();
  }

  synchronized ObjectNode wholeList() {
    ObjectNode list = Kit.object().put("seq", seq).put("whole", true);
    hosts.values().forEach(list.putArray("hosts")::add);
    return list;
  }

  private synchronized ObjectNode list(int from, long holdMillis) {
    long end = System.nanoTime() + holdMillis * 1_000_000;
    while (seq == from && System.nanoTime() < end) {
      try {
        wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    if (seq == from) {
      ObjectNode unchanged = Kit.object().put("seq", seq).put("whole", false);
      unchanged.putArray("hosts");
      return unchanged;
    }
    return wholeList();
  }

  private void answer(HttpExchange exchange) throws IOException {
    String query = exchange.getRequestURI().getQuery();
    int from = -1;
    long hold = 0;
    for (String field : query == null ? new String[0] : query.split("&")) {
      if (field.startsWith("from=")) {
        from = Integer.parseInt(field.substring(5));
      } else if (field.startsWith("hold_ms=")) {
        hold = Math.min(MAX_HOLD_MS, Long.parseLong(field.substring(8)));
      }
    }
    byte[] body = list(from, hold).toString().getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(200, body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
  }
}
