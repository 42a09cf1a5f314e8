package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;
import loomreel.program.harness.DispatcherProcess;
import loomreel.program.harness.EndpointList;
import loomreel.program.harness.EndpointList.Extent;
import loomreel.program.harness.EndpointList.Health;
import loomreel.program.harness.HttpMessage;
import loomreel.program.harness.ListService;
import loomreel.program.harness.SubmittedJob;
import loomreel.program.harness.TestConfiguration;
import loomreel.standin.BackgroundThreads;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Upgrades in series under load, with drained workers and operators' requests at either process.
 * The schedule follows from a seed; {@code -Dsoak.seeds=N -Dsoak.from=K} runs the N seeds from K
 * on.
 */
@Timeout(300)
class UpgradeSoakTest {
  private static final int WORKERS = 4;
  private static final int CLIENTS = 4;
  private static final int ROUNDS = 2;
  private static final int KNOWN_VERSION = 41;
  private static final int SHOWN_VIOLATIONS = 5;
  private static final int DEADLINE_MILLIS = 5000;

  /** The pages: a change is known 6 s after discovery had it; the grace is 3 s; 50 ms of slack. */
  private static final long LAST_SEND_MILLIS = 9050;

  private final Map<Integer, Long> drainedAt = new ConcurrentHashMap<>();
  private final Map<String, AtomicInteger> runsOfUnsafeJobs = new ConcurrentHashMap<>();
  private final Queue<String> violations = new ConcurrentLinkedQueue<>();
  private final AtomicInteger served = new AtomicInteger();
  private volatile boolean running = true;

  static LongStream seeds() {
    long from = Long.getLong("soak.from", 1);
    return LongStream.range(from, from + Long.getLong("soak.seeds", 3));
  }

  private static long nowMillis() {
    return System.nanoTime() / 1_000_000;
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void upgradesKeepJobsDrainsAndOverrides(long seed) throws Exception {
    Random random = new Random(seed);
    TestConfiguration configuration =
        new TestConfiguration().knownListUnconfirmed().discoveryPollIntervalSeconds(10);
    try (DispatcherProcess program = DispatcherProcess.supervised(WORKERS, configuration)) {
      ListService lists =
          new ListService(program.discovery(), KNOWN_VERSION, v -> list(program, v));
      for (int i = 0; i < WORKERS; i++) {
        startWorker(program, i);
      }
      program.awaitReadiness(0);
      for (int i = 0; i < CLIENTS; i++) {
        startClient(program, i % 2 == 0);
      }
      for (int round = 0; round < ROUNDS; round++) {
        upgrade(program, lists, round, random);
      }
      running = false;
      assertEquals(
          List.of(),
          violations.stream().limit(SHOWN_VIOLATIONS).toList(),
          violations.size() + " violations, seed " + seed);
      assertTrue(served.get() > 0, "jobs were served");
    }
  }

  private EndpointList list(DispatcherProcess program, int version) {
    Health[] health = new Health[WORKERS];
    for (int i = 0; i < WORKERS; i++) {
      health[i] = drainedAt.containsKey(i) ? Health.DRAINING : Health.SERVING;
    }
    return program.endpointList(version, Extent.COMPLETE, health);
  }

  /** Drains a worker, and upgrades when a process that starts has to know of that. */
  private void upgrade(DispatcherProcess program, ListService lists, int old, Random random)
      throws Exception {
    int drained = random.nextInt(WORKERS);
    drainedAt.put(drained, nowMillis());
    lists.changed();
    while (nowMillis() < drainedAt.get(drained) + LAST_SEND_MILLIS) {
      override(program, old, random);
      Thread.sleep(random.nextInt(1000));
    }
    program.startSuccessor();
    for (int i = random.nextInt(6); i >= 0; i--) {
      override(program, old + random.nextInt(2), random);
    }
    assertOverridesAgree(program, old, old + 1);
    program.instance(old).destroy();
    override(program, old + 1, random);
    program.awaitExit(old);
    drainedAt.remove(drained);
    lists.changed();
  }

  /** Disables or enables one of the first two workers, so that the others can serve. */
  private static void override(DispatcherProcess program, int instance, Random random)
      throws IOException {
    String worker = "w" + random.nextInt(2);
    int status =
        random.nextBoolean()
            ? program.disableWorker(instance, worker)
            : program.enableWorker(instance, worker);
    assertEquals(200, status);
  }

  private void assertOverridesAgree(DispatcherProcess program, int old, int successor)
      throws Exception {
    for (int instance : new int[] {old, successor}) {
      program.awaitStatistic(instance, "hosts_down", storedOverrides(program));
    }
    assertEquals(storedOverrides(program), program.statistic(old, "hosts_down"));
  }

  private static int storedOverrides(DispatcherProcess program) throws IOException {
    return (int) Files.readString(program.temporaryDirectory().resolve("n0.state")).lines().count();
  }

  private void startWorker(DispatcherProcess program, int index) {
    BackgroundThreads.start(
        () -> {
          while (running) {
            if (program.worker(index).hasPendingRequest()) {
              serve(program, index, program.worker(index).nextRequest());
            } else {
              Thread.sleep(1);
            }
          }
        });
  }

  private void serve(DispatcherProcess program, int index, HttpMessage request) throws IOException {
    if (!request.startLine().startsWith("POST")) {
      request.respond(200, "");
      return;
    }
    String id = request.header("X-Call-Id");
    Long drained = drainedAt.get(index);
    if (drained != null && nowMillis() > drained + LAST_SEND_MILLIS) {
      violations.add(
          "drain: " + id + " to w" + index + " after " + (nowMillis() - drained) + " ms");
    }
    boolean isUnsafe = request.startLine().startsWith("POST /issue");
    int runs = runsOfUnsafeJobs.computeIfAbsent(id, i -> new AtomicInteger()).incrementAndGet();
    if (isUnsafe && runs > 1) {
      violations.add("duplicate: " + id);
    }
    request.respond(202, "");
    program.reportDone(id, "w" + index, id);
  }

  /**
   * Submits job after job.
   *
   * @param keepsConnection whether a connection is used until the dispatcher closes it
   */
  private void startClient(DispatcherProcess program, boolean keepsConnection) {
    BackgroundThreads.start(
        () -> {
          Socket connection = program.connect();
          for (int i = 0; running; i++) {
            String path = i % 2 == 0 ? "/copy" : "/issue";
            connection = submit(program, connection, path);
            if (!keepsConnection) {
              connection.close();
              connection = program.connect();
            }
            Thread.sleep(2);
          }
        });
  }

  /** Submits one job, again on a new connection where a close crosses it; the connection to use. */
  private Socket submit(DispatcherProcess program, Socket connection, String path)
      throws IOException {
    Socket current = connection;
    for (int attempt = 0; attempt < 2; attempt++) {
      try {
        SubmittedJob job = program.submit(current, path, DEADLINE_MILLIS, "");
        HttpMessage response = job.response();
        if (response != null) {
          check(job, response);
          boolean closes = "close".equals(response.header("Connection"));
          return closes ? program.connect() : current;
        }
      } catch (IOException e) {
        // The close has crossed the request.
      }
      current.close();
      current = program.connect();
    }
    if (running) {
      violations.add("lost: a job got no answer on two connections");
    }
    return current;
  }

  private void check(SubmittedJob job, HttpMessage response) {
    if (response.status() == 200 && response.body().equals(job.id())) {
      served.incrementAndGet();
    } else if (response.status() != 503 && response.status() != 429) {
      violations.add("answer " + response.status() + " " + response.body() + " to " + job.id());
    }
  }
}
