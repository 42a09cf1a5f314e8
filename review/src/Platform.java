import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodType;
import java.lang.reflect.Method;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URL;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import jdk.incubator.foreign.CLinker;
import jdk.incubator.foreign.FunctionDescriptor;

/**
 * The platform around one dispatcher: it holds the clients' listening socket, which each process
 * inherits as descriptor 0, runs discovery with an unchanging list, and runs copy workers.
 */
final class Platform {
  private static final String SETTINGS =
      "{\"Balancers\":1,\"Callers\":{\"MarksRetry\":false},\"Dcs\":[\"montreal\"],"
          + "\"Discovery\":\"ask\",\"Family\":\"jobs\",\"HostTypes\":[\"large\"],"
          + "\"Invariants\":{\"AnswerSlackS\":0.016,\"AskWithinS\":10.0,\"ColdFrom\":0.14,"
          + "\"ColdS\":24.0,\"FallS\":3.0,\"StopSendingWithinS\":3.0,\"TipMultiple\":2.5},"
          + "\"Locality\":\"montreal\",\"Ordinal\":0,\"OverShareWorth\":0.05,"
          + "\"PolicyLimits\":{\"Cancelling\":true,\"ConnIdleS\":15.0,\"ConnectTimeoutS\":0.25,"
          + "\"MaxAttempts\":4,\"MaxRetryAfterS\":2.0,\"Probing\":true,\"RetryAfter\":true,"
          + "\"SecondCopies\":true,\"StreamsPerConn\":1},"
          + "\"RequestClasses\":[{\"DeadlineS\":5.0,\"Group\":\"all\",\"LateValue\":0.0,"
          + "\"Name\":\"copy\",\"Repeat\":\"free\",\"Streaming\":false,\"TargetS\":0.2,"
          + "\"Value\":5.0,\"WindowS\":5.0},{\"DeadlineS\":5.0,\"Group\":\"all\","
          + "\"LateValue\":0.0,\"Name\":\"issue\",\"Repeat\":\"single_shot\","
          + "\"Streaming\":false,\"TargetS\":0.2,\"Value\":2.0,\"WindowS\":5.0}],"
          + "\"Specifics\":{\"ClassKind\":[-1,-1],\"ClassPriority\":[1,0],"
          + "\"ClassStretch\":[2.5,1.75],\"ProgressS\":1.0,\"QueueOrder\":\"backfill\","
          + "\"TellsStart\":false},"
          + "\"Telemetry\":{\"Fields\":[\"depth\",\"concurrent\",\"x0\"],\"How\":\"probe\"},"
          + "\"Tenants\":[],\"TickS\":0.004,\"Tier\":0,\"Tiers\":[\"copy-workers\"],"
          + "\"ValueBy\":\"work\",\"Weights\":\"rough\"}";

  /** What a copy worker has done for one job. Times are seconds of the run; 0 for never. */
  static final class Work {
    volatile String worker;
    volatile double receivedAt;
    volatile double doneAnsweredAt;
    final AtomicInteger receipts = new AtomicInteger();
  }

  static {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    System.setProperty("java.net.preferIPv4Stack", "true");
  }

  private final Run run;
  private final ServerSocketChannel clients;
  private final HttpServer discovery;
  private final List<HttpServer> workers = new ArrayList<>();
  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(8, Platform::d);
  private final StringBuilder hosts = new StringBuilder();

  /** By job id. */
  final Map<String, Work> work = new ConcurrentHashMap<>();

  private int starts;

  Platform(Run run, int workerCount) throws Exception {
    this.run = run;
    clients = ServerSocketChannel.open();
    clients.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 512);
    makeDescriptor0(clients);
    for (int i = 1; i <= workerCount; i++) {
      startWorker("s-" + i);
    }
    discovery = server(this::answerDiscovery);
  }

  private static Thread d(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    return thread;
  }

  /** Copies the socket's descriptor to 0, from where child processes inherit it. */
  private static void makeDescriptor0(ServerSocketChannel socket) throws Exception {
    Method descriptor = socket.getClass().getDeclaredMethod("getFDVal");
    descriptor.setAccessible(true);
    MethodHandle dup2;
    try {
      dup2 =
          CLinker.getInstance()
              .downcallHandle(
                  CLinker.systemLookup().lookup("dup2").orElseThrow(),
                  MethodType.methodType(int.class, int.class, int.class),
                  FunctionDescriptor.of(CLinker.C_INT, CLinker.C_INT, CLinker.C_INT));
      int result = (int) dup2.invokeExact((int) (Integer) descriptor.invoke(socket), 0);
      if (result != 0) {
        throw new IOException("dup2 failed");
      }
    } catch (Exception e) {
      throw e;
    } catch (Throwable e) {
      throw new IllegalStateException(e);
    }
  }

  /** The port to which clients and copy workers connect. */
  int port() throws IOException {
    return ((InetSocketAddress) clients.getLocalAddress()).getPort();
  }

  private interface Handler {
    void handle(HttpExchange exchange) throws Exception;
  }

  private static HttpServer server(Handler handler) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
    server.setExecutor(Executors.newCachedThreadPool(Platform::d));
    server.createContext(
        "/",
        exchange -> {
          try {
            handler.handle(exchange);
          } catch (IOException e) {
            throw e;
          } catch (Exception e) {
            throw new IOException(e);
          } finally {
            exchange.close();
          }
        });
    server.start();
    return server;
  }

  private static void answer(HttpExchange exchange, int status, String body) throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
    if (bytes.length > 0) {
      exchange.getResponseBody().write(bytes);
    }
  }

  private void answerDiscovery(HttpExchange exchange) throws Exception {
    String query = exchange.getRequestURI().getQuery();
    if (query != null && query.contains("from=41")) {
      Thread.sleep(Long.parseLong(query.replaceAll(".*hold_ms=", "")));
      answer(exchange, 200, "{\"seq\":41,\"whole\":false,\"hosts\":[]}");
    } else {
      answer(exchange, 200, list());
    }
  }

  private String list() {
    return "{\"seq\":41,\"whole\":true,\"hosts\":[" + hosts + "]}";
  }

  private void startWorker(String id) throws IOException {
    AtomicInteger held = new AtomicInteger();
    HttpServer server =
        server(
            exchange -> {
              byte[] body = exchange.getRequestBody().readAllBytes();
              String path = exchange.getRequestURI().getPath();
              if (path.equals("/stats") || path.equals("/health/live")) {
                exchange
                    .getResponseHeaders()
                    .set(
                        "X-Load-Report",
                        "TEXT queue=0, inflight=" + held + ", x0=" + Math.max(0, 5 - held.get()));
                answer(exchange, 200, "");
              } else if (exchange.getRequestMethod().equals("POST")) {
                String call = exchange.getRequestHeaders().getFirst("X-Call-Id");
                Work job = work.computeIfAbsent(call, absent -> new Work());
                job.receipts.incrementAndGet();
                job.worker = id;
                job.receivedAt = run.seconds();
                held.incrementAndGet();
                answer(exchange, 202, "");
                long millis = Long.parseLong(new String(body, StandardCharsets.UTF_8).trim());
                timers.schedule(() -> finish(id, call, job, held), millis, TimeUnit.MILLISECONDS);
              } else {
                answer(exchange, 200, "");
              }
            });
    workers.add(server);
    hosts
        .append(hosts.length() == 0 ? "" : ",")
        .append("{\"host\":\"" + id + "\",\"dial\":\"127.0.0.1:" + server.getAddress().getPort())
        .append("\",\"site\":\"montreal\",\"class\":\"large\",\"block\":0,")
        .append("\"health\":\"SERVING\",\"share\":1.0,\"born_ms\":0}");
  }

  private void finish(String id, String call, Work job, AtomicInteger held) {
    held.decrementAndGet();
    String done =
        "{\"id\":\""
            + call
            + "\",\"from\":\""
            + id
            + "\",\"state\":\"done\",\"result\":\"made "
            + call
            + "\"}";
    d(
            () -> {
              for (int i = 0; i < 10 && job.doneAnsweredAt == 0; i++) {
                try {
                  int status = post("127.0.0.1:" + port(), "/_jobs/news", done);
                  if (status == 200 || status == 204) {
                    job.doneAnsweredAt = run.seconds();
                  }
                } catch (IOException e) {
                  sleep(100);
                }
              }
            })
        .start();
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Posts a body; the status. */
  static int post(String address, String path, String body) throws IOException {
    HttpURLConnection call =
        (HttpURLConnection) new URL("http://" + address + path).openConnection();
    call.setRequestMethod("POST");
    call.setDoOutput(true);
    call.setConnectTimeout(2000);
    call.setReadTimeout(2000);
    try (OutputStream out = call.getOutputStream()) {
      out.write(body.getBytes(StandardCharsets.UTF_8));
    }
    int status = call.getResponseCode();
    if (status < 400) {
      call.getInputStream().readAllBytes();
    }
    return status;
  }

  /** A process of the dispatcher, and its operators' address. */
  static final class Dispatcher {
    Run.Program program;
    String operators;

    boolean isReady() {
      try {
        HttpURLConnection call =
            (HttpURLConnection) new URL("http://" + operators + "/ops/readiness").openConnection();
        call.setConnectTimeout(500);
        call.setReadTimeout(1000);
        return call.getResponseCode() == 200;
      } catch (IOException e) {
        return false;
      }
    }
  }

  /** Starts a process of the dispatcher n1 with the command `run` of the deploy file. */
  Dispatcher start() throws IOException {
    return start("127.0.0.1:" + Faktory.freePort());
  }

  /** Starts a process whose operators' address is given. */
  Dispatcher start(String operators) throws IOException {
    starts++;
    Dispatcher dispatcher = new Dispatcher();
    dispatcher.operators = operators;
    Path config = run.temporary.resolve("config-" + starts + ".json");
    Path state = Files.createDirectories(run.temporary.resolve("state"));
    Files.writeString(
        config,
        "{\"name\":\"n1\",\"listen\":\"127.0.0.1:"
            + port()
            + "\",\"mgmt\":\""
            + dispatcher.operators
            + "\",\"discovery\":\"127.0.0.1:"
            + discovery.getAddress().getPort()
            + "\",\"seed\":\"8c1f30d27a5be9"
            + String.format("%02x", 16 + starts)
            + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":"
            + list()
            + ",\"settings\":"
            + SETTINGS
            + "}");
    dispatcher.program =
        run.start(
            "process " + starts,
            Run.runCommand(),
            Map.of(
                "BALANCER_CONFIG",
                config.toString(),
                "BALANCER_LISTEN_FD",
                "0",
                "TMPDIR",
                state.toString()),
            true);
    return dispatcher;
  }
}
