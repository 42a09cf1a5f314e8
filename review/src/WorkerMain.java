import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A copy worker as a process of its own. Arguments: its port, its id, the dispatcher's address, and
 * a file to which it appends a line for each request: the time in milliseconds, the method and the
 * target.
 */
final class WorkerMain {
  private static final int WORK_MILLIS = 50;

  private WorkerMain() {}

  public static void main(String[] arguments) throws IOException {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    int port = Integer.parseInt(arguments[0]);
    String id = arguments[1];
    String dispatcher = arguments[2];
    Path file = Path.of(arguments[3]);
    ScheduledExecutorService timers = Executors.newScheduledThreadPool(4);
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 64);
    server.setExecutor(Executors.newCachedThreadPool());
    server.createContext("/", exchange -> handle(exchange, id, dispatcher, file, timers));
    server.start();
    System.out.println("listening");
  }

  private static void handle(
      HttpExchange exchange,
      String id,
      String dispatcher,
      Path file,
      ScheduledExecutorService timers)
      throws IOException {
    exchange.getRequestBody().readAllBytes();
    String line =
        System.currentTimeMillis()
            + " "
            + exchange.getRequestMethod()
            + " "
            + exchange.getRequestURI()
            + "\n";
    synchronized (WorkerMain.class) {
      Files.writeString(file, line, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    }
    if (exchange.getRequestMethod().equals("POST")) {
      String call = exchange.getRequestHeaders().getFirst("X-Call-Id");
      exchange.sendResponseHeaders(202, -1);
      timers.schedule(() -> report(id, call, dispatcher), WORK_MILLIS, TimeUnit.MILLISECONDS);
    } else {
      exchange.getResponseHeaders().set("X-Load-Report", "TEXT queue=0, inflight=0, x0=4");
      exchange.sendResponseHeaders(200, -1);
    }
    exchange.close();
  }

  private static void report(String id, String call, String dispatcher) {
    String done =
        "{\"id\":\"" + call + "\",\"from\":\"" + id + "\",\"state\":\"done\",\"result\":\"made\"}";
    for (int i = 0; i < 10; i++) {
      try {
        HttpURLConnection to =
            (HttpURLConnection) new URL("http://" + dispatcher + "/_jobs/news").openConnection();
        to.setRequestMethod("POST");
        to.setDoOutput(true);
        to.setConnectTimeout(2000);
        to.setReadTimeout(2000);
        try (OutputStream out = to.getOutputStream()) {
          out.write(done.getBytes(StandardCharsets.UTF_8));
        }
        int status = to.getResponseCode();
        to.getInputStream().readAllBytes();
        if (status == 200 || status == 204) {
          return;
        }
      } catch (IOException e) {
        // Tried again.
      }
      try {
        Thread.sleep(200);
      } catch (InterruptedException e) {
        return;
      }
    }
  }
}
