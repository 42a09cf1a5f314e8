package loomreel.faktory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import loomreel.program.harness.ProgramCommand;
import loomreel.standin.DaemonProcess;
import loomreel.standin.FaktoryClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Hundreds of clients that stop half way, and one that sends without a pause, beside sound clients,
 * at a daemon with the heap of the deployment. Each sound client gets the result of each job within
 * the time that it waits.
 */
@Timeout(120)
class SlowClientsTest {
  private static final int SOUND_CLIENTS = 8;
  private static final int SOUND_BODY_BYTES = 2_000;
  private static final int BUDGET_MILLIS = 5_000;
  private static final long LOAD_NANOS = TimeUnit.SECONDS.toNanos(6);
  private static final int LONG_BUDGET_MILLIS = 999_999_999;

  /** What slow clients send, and where. */
  private enum Load {
    HEADS_OF_SHORT_FIELDS(400),
    BODIES(400),
    CALLBACKS(400),
    ADMIN_REQUESTS(400),
    COMMANDS(230);

    private final int connections;

    Load(int connections) {
      this.connections = connections;
    }

    InetSocketAddress address(DaemonProcess daemon) {
      return switch (this) {
        case HEADS_OF_SHORT_FIELDS, BODIES, CALLBACKS -> daemon.http();
        case ADMIN_REQUESTS -> daemon.operators();
        case COMMANDS -> daemon.faktory();
      };
    }

    String text() {
      return switch (this) {
        case HEADS_OF_SHORT_FIELDS -> head("/copy", 1_000, "a:b\r\n".repeat(1_300)) + "half";
        case BODIES -> head("/copy", 61_000, "") + "b".repeat(60_000);
        case CALLBACKS -> head("/_jobs/news", 61_000, "") + "{\"id\":\"" + "b".repeat(60_000);
        case ADMIN_REQUESTS -> head("/ops/stats", 61_000, "") + "b".repeat(60_000);
        case COMMANDS ->
            "HELLO {\"hostname\":\"h\",\"pid\":1,\"v\":2}\r\nPUSHB [\"" + "b".repeat(1_500_000);
      };
    }
  }

  /** The statuses of the answers, or the kinds of exceptions in their place, and how often. */
  private final Queue<String> answers = new ConcurrentLinkedQueue<>();

  private volatile boolean isOver;

  private static DaemonProcess startDaemon() throws IOException {
    String[] flags =
        ProgramCommand.deployedFlags().stream()
            .filter(flag -> !flag.contains("SharedArchiveFile") && !flag.startsWith("-Xlog"))
            .toArray(String[]::new);
    return new DaemonProcess(
        new DaemonSettings()
            .withClass("copy", "free", "500ms", "5s")
            .withClass("only", "free", "nobody")
            .withMemory("192MiB")
            .withRule("cold_from", "1.0")
            .withQueue("copies", "copy")
            .withQueue("\"*\"", "only")
            .withFaktoryText("spool", "none")
            .write(),
        flags);
  }

  private static String head(String path, int bodyBytes, String fields) {
    return "POST %s HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nX-Budget-Ms: %d\r\n%sContent-Length: %d\r\n\r\n"
        .formatted(path, newId(), BUDGET_MILLIS, fields, bodyBytes);
  }

  private static String newId() {
    return HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong());
  }

  /** Guards against slow clients that take the memory of all others. */
  @ParameterizedTest
  @EnumSource(Load.class)
  void soundClientsAreServedBesideClientsThatStopHalfWay(Load load) throws Exception {
    try (DaemonProcess daemon = startDaemon();
        FaktoryClient client = new FaktoryClient(daemon.faktory())) {
      List<Thread> sound = startSoundClients(daemon);
      holdHalfSent(load, load.address(daemon));
      assertAllServed(sound);
      assertTrue(client.callForJson("INFO").has("faktory"), "a sound Faktory client is served");
    }
  }

  /** Guards against a client that fills the memory with jobs of ever new queues. */
  @Test
  void soundClientsAreServedBesideOneThatUsesEverNewQueues() throws Exception {
    try (DaemonProcess daemon = startDaemon();
        FaktoryClient client = new FaktoryClient(daemon.faktory())) {
      List<Thread> sound = startSoundClients(daemon);
      long end = System.nanoTime() + LOAD_NANOS;
      Object reply = "";
      for (int i = 0; System.nanoTime() < end; i++) {
        String text = "{\"jid\":\"new-%08d\",\"jobtype\":\"T%d\",\"queue\":\"q%d\",\"args\":[]}";
        reply = client.call("PUSH " + text.formatted(i, i, i));
      }
      assertTrue(reply.toString().contains("backlog is full: 1000 queues"), reply.toString());
      assertAllServed(sound);
    }
  }

  /** Guards against timers that are held until the end of a budget which the client chooses. */
  @Test
  void soundClientsAreServedBesideOnesWhoseJobsHaveLongBudgets() throws Exception {
    try (DaemonProcess daemon = startDaemon()) {
      List<Thread> sound = startSoundClients(daemon);
      long end = System.nanoTime() + 3 * LOAD_NANOS;
      HttpClient client = newHttpClient();
      List<Thread> senders = new ArrayList<>();
      for (int i = 0; i < SOUND_CLIENTS; i++) {
        senders.add(
            start(
                () -> {
                  while (System.nanoTime() < end) {
                    submit(client, daemon.http(), LONG_BUDGET_MILLIS);
                  }
                }));
      }
      for (Thread sender : senders) {
        sender.join();
      }
      assertAllServed(sound);
    }
  }

  private List<Thread> startSoundClients(DaemonProcess daemon) throws Exception {
    for (int i = 0; i < SOUND_CLIENTS; i++) {
      FaktoryClient worker = new FaktoryClient(daemon.faktory(), null, "w" + i);
      worker.send("FETCH copies");
      start(() -> work(worker));
    }
    awaitWorkers(daemon);
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < SOUND_CLIENTS; i++) {
      HttpClient client = newHttpClient();
      clients.add(
          start(
              () -> {
                while (!isOver) {
                  answers.add(submit(client, daemon.http(), BUDGET_MILLIS));
                  pause(20);
                }
              }));
    }
    return clients;
  }

  private static void awaitWorkers(DaemonProcess daemon) throws Exception {
    try (FaktoryClient client = new FaktoryClient(daemon.faktory())) {
      int workers = 0;
      while (workers < SOUND_CLIENTS) {
        pause(20);
        workers = client.callForJson("INFO").at("/faktory/tasks/Workers/size").asInt();
      }
    }
  }

  /** Acknowledges all jobs until the connection is closed; a FETCH is under way at the start. */
  private static void work(FaktoryClient worker) {
    try {
      while (true) {
        if (worker.read() instanceof String text) {
          JsonNode job = FaktoryClient.JSON.readTree(text);
          worker.callExpectingOk(ProtocolHarness.ack(job));
        }
        worker.send("FETCH copies");
      }
    } catch (IOException e) {
      // The daemon has ended.
    }
  }

  private static Thread start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static HttpClient newHttpClient() {
    return HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  }

  /** Submits a job; the status of the answer, or the kind of the exception. */
  private static String submit(HttpClient client, InetSocketAddress address, int budgetMillis) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + address.getPort() + "/copy"))
            .timeout(Duration.ofMillis(BUDGET_MILLIS))
            .header("X-Call-Id", newId())
            .header("X-Budget-Ms", Integer.toString(budgetMillis))
            .POST(HttpRequest.BodyPublishers.ofString("s".repeat(SOUND_BODY_BYTES)))
            .build();
    try {
      HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
      return response.statusCode() + " " + response.body();
    } catch (IOException | InterruptedException e) {
      return e.toString();
    }
  }

  private void assertAllServed(List<Thread> sound) throws InterruptedException {
    isOver = true;
    for (Thread client : sound) {
      client.join();
    }
    Map<String, Integer> counts = new TreeMap<>();
    answers.forEach(answer -> counts.merge(answer, 1, Integer::sum));
    assertEquals(Map.of("200 done", answers.size()), counts);
    long leastAnswers = SOUND_CLIENTS * TimeUnit.NANOSECONDS.toMillis(LOAD_NANOS) / BUDGET_MILLIS;
    assertTrue(answers.size() >= leastAnswers, answers.size() + " answers");
  }

  /**
   * Keeps connections that have sent a part of a request; those that are closed are opened again.
   */
  private static void holdHalfSent(Load load, InetSocketAddress address) throws IOException {
    List<HalfSent> held = new ArrayList<>();
    long end = System.nanoTime() + LOAD_NANOS;
    try {
      while (System.nanoTime() < end) {
        if (held.size() < load.connections) {
          held.add(new HalfSent(address, load.text()));
        }
        held.removeIf(connection -> !connection.goOn());
      }
    } finally {
      for (HalfSent connection : held) {
        connection.channel.close();
      }
    }
  }

  /** A connection on which a text is written as fast as the daemon reads it. */
  private static final class HalfSent {
    private final SocketChannel channel;
    private final ByteBuffer unsent;
    private final ByteBuffer in = ByteBuffer.allocate(1024);

    HalfSent(InetSocketAddress address, String text) throws IOException {
      channel = SocketChannel.open(address);
      channel.configureBlocking(false);
      unsent = ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Writes and reads; false once the connection is closed. */
    boolean goOn() {
      try {
        channel.write(unsent);
        if (channel.read(in.clear()) >= 0) {
          return true;
        }
        channel.close();
      } catch (IOException e) {
        // The daemon has closed the connection.
      }
      return false;
    }
  }
}
