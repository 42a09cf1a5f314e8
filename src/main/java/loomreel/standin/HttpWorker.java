package loomreel.standin;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/**
 * A worker that is called over HTTP: accepts jobs while it has capacity, executes them, and reports
 * results by callbacks.
 */
public final class HttpWorker implements AutoCloseable {
  static {
    // Without this the JDK's server delays each small response by 40 ms.
    System.setProperty("sun.net.httpserver.nodelay", "true");
  }

  private static final int WAITING_PER_SLOT = 4;
  private static final int MAX_CALLBACK_ATTEMPTS = 10;
  private static final int CALLBACK_TIMEOUT_MS = 2000;
  private static final long CALLBACK_RETRY_DELAY_MS = 100;
  private static final int BACKLOG = 256;
  private static final int ANY_PORT = 0;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final String id;
  private final Supplier<InetSocketAddress> dispatcher;
  private final ExecutionLog executions;
  private final long workMs;
  private final int slots;
  private final int port;
  private HttpServer server;
  private ThreadPoolExecutor jobs;
  private ExecutorService calls;
  private final AtomicInteger jobsServed = new AtomicInteger();
  private final AtomicInteger unexpectedJobs = new AtomicInteger();
  private volatile long noJobsExpectedSince = Long.MAX_VALUE;

  /**
   * Starts the worker on a free port.
   *
   * @param dispatcher the address for callbacks
   * @param workMs how long a job takes
   * @throws IOException if there is no free port
   */
  public HttpWorker(
      String id,
      Supplier<InetSocketAddress> dispatcher,
      int slots,
      long workMs,
      ExecutionLog executions)
      throws IOException {
    this.id = id;
    this.dispatcher = dispatcher;
    this.slots = slots;
    this.workMs = workMs;
    this.executions = executions;
    port = listen(ANY_PORT);
  }

  private int listen(int at) throws IOException {
    calls = Executors.newCachedThreadPool(r -> daemon(r, id + " calls"));
    jobs =
        new ThreadPoolExecutor(
            slots,
            slots,
            0,
            TimeUnit.SECONDS,
            new ArrayBlockingQueue<>(WAITING_PER_SLOT * slots),
            r -> daemon(r, id + " jobs"));
    server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), at), BACKLOG);
    server.setExecutor(calls);
    ThreadPoolExecutor currentJobs = jobs;
    server.createContext("/", exchange -> call(exchange, currentJobs));
    server.start();
    return server.getAddress().getPort();
  }

  private static Thread daemon(Runnable work, String name) {
    Thread thread = new Thread(work, name);
    thread.setDaemon(true);
    return thread;
  }

  /** The address that the worker listens on. */
  public String address() {
    return "127.0.0.1:" + port;
  }

  private void call(HttpExchange exchange, ThreadPoolExecutor currentJobs) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    String path = exchange.getRequestURI().getPath();
    int status = 200;
    if (path.equals("/stats")) {
      exchange
          .getResponseHeaders()
          .set(
              "X-Load-Report",
              "TEXT queue="
                  + currentJobs.getQueue().size()
                  + ", inflight="
                  + (currentJobs.getQueue().size() + currentJobs.getActiveCount())
                  + ", x0="
                  + (slots - currentJobs.getActiveCount()));
    } else if (exchange.getRequestMethod().equals("POST")) {
      if (System.nanoTime() > noJobsExpectedSince) {
        unexpectedJobs.incrementAndGet();
      }
      String call = exchange.getRequestHeaders().getFirst("X-Call-Id");
      try {
        currentJobs.execute(() -> run(call, serial(new String(body, StandardCharsets.UTF_8))));
        status = 202;
      } catch (RejectedExecutionException e) {
        status = 503;
        exchange.getResponseHeaders().set("X-Rejected", "1");
      }
    }
    exchange.sendResponseHeaders(status, -1);
    exchange.close();
  }

  private static String serial(String body) {
    try {
      return body.startsWith("{") ? FaktoryWorker.serial(FaktoryClient.JSON.readTree(body)) : body;
    } catch (IOException e) {
      throw new IllegalStateException("a job that is not JSON: " + body, e);
    }
  }

  private void run(String call, String serial) {
    executions.recordStart(serial);
    try {
      Thread.sleep(workMs);
      String callback =
          FaktoryClient.JSON
              .createObjectNode()
              .put("id", call)
              .put("from", id)
              .put("state", "done")
              .put("result", "made " + serial)
              .toString();
      for (int i = 0; i < MAX_CALLBACK_ATTEMPTS && !sendCallback(callback); i++) {
        Thread.sleep(CALLBACK_RETRY_DELAY_MS);
      }
      jobsServed.incrementAndGet();
    } catch (InterruptedException e) {
      // Killed: the job's result is lost.
      Thread.currentThread().interrupt();
    }
  }

  private boolean sendCallback(String callback) {
    try {
      HttpURLConnection to =
          (HttpURLConnection)
              new URL("http", "127.0.0.1", dispatcher.get().getPort(), "/_jobs/news")
                  .openConnection();
      to.setRequestMethod("POST");
      to.setDoOutput(true);
      to.setConnectTimeout(CALLBACK_TIMEOUT_MS);
      to.setReadTimeout(CALLBACK_TIMEOUT_MS);
      try (OutputStream out = to.getOutputStream()) {
        out.write(callback.getBytes(StandardCharsets.UTF_8));
      }
      int status = to.getResponseCode();
      to.getInputStream().readAllBytes();
      return status == 200 || status == 204;
    } catch (IOException e) {
      return false;
    }
  }

  /** Counts jobs that arrive later than this as unexpected: operators have disabled the worker. */
  public void expectNoJobsAfterMillis(long graceMillis) {
    noJobsExpectedSince = System.nanoTime() + graceMillis * NANOS_PER_MILLI;
  }

  /** Stops counting jobs as unexpected: operators have enabled the worker again. */
  public void expectJobs() {
    noJobsExpectedSince = Long.MAX_VALUE;
  }

  /** How many jobs arrived while none was expected. */
  public int unexpectedJobs() {
    return unexpectedJobs.get();
  }

  /** How many jobs the worker has completed. */
  public int jobsServed() {
    return jobsServed.get();
  }

  /** Ends the worker like a crash: connections close, jobs stay unfinished. */
  @Override
  public void close() {
    server.stop(0);
    jobs.shutdownNow();
    calls.shutdownNow();
  }

  /** Starts the worker again on the same port, after it was closed. */
  public void restart() throws IOException {
    listen(port);
  }
}
