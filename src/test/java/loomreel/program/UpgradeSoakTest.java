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
 * Verifies a series of upgrades, in which a new process replaces the old one under load. Meanwhile
 * workers are drained, and operators send requests to the old and to the new process.
 *
 * <p>A seed determines the random choices of a run. {@code -Dsoak.seeds=N -Dsoak.from=K} runs N
 * consecutive seeds, of which the first one is K.
 */
@Timeout(300)
class UpgradeSoakTest {
  /** The number of workers. */
  private static final int WORKER_COUNT = 4;

  /** The number of clients. Half of the clients use a new connection for each job. */
  private static final int CLIENT_COUNT = 4;

  /** The number of upgrades for each seed. */
  private static final int UPGRADE_COUNT = 2;

  /** The version of the endpoint list in the configuration, which a process knows at its start. */
  private static final int KNOWN_VERSION = 41;

  /** The maximum number of violations that the failure message lists. */
  private static final int MAX_LISTED_VIOLATIONS = 5;

  /** The deadline of each job, in milliseconds. */
  private static final int DEADLINE_MILLIS = 5000;

  /**
   * The maximum time, in milliseconds, from the start of a drain to the last job that the drained
   * worker may get. It is the sum of 6 s, the drain grace of 3 s and a slack of 50 ms. The 6 s come
   * from the pages with the rules of the platform, which {@link loomreel.discovery.WatchTimeouts}
   * summarizes: a change of the endpoint list counts as known 6 s after discovery has received it.
   */
  private static final long MAX_SEND_AFTER_DRAIN_MILLIS = 9050;

  /** The {@link #nowMillis} at which the drain of a worker began, by the worker's index. */
  private final Map<Integer, Long> drainedAtMillis = new ConcurrentHashMap<>();

  /** The number of times that workers have received a job, by job id. */
  private final Map<String, AtomicInteger> runsByJobId = new ConcurrentHashMap<>();

  /** Descriptions of the rules that the program has violated. */
  private final Queue<String> violations = new ConcurrentLinkedQueue<>();

  /** The number of jobs whose client got the result. */
  private final AtomicInteger servedJobs = new AtomicInteger();

  /** Whether the threads of clients and workers continue. Becomes false when the test ends. */
  private volatile boolean running = true;

  /** Returns the seeds to run: 1 to 3, unless soak.from or soak.seeds is set. */
  static LongStream seeds() {
    long from = Long.getLong("soak.from", 1);
    return LongStream.range(from, from + Long.getLong("soak.seeds", 3));
  }

  /** Returns a monotonic time in milliseconds, with an arbitrary origin. */
  private static long nowMillis() {
    return System.nanoTime() / 1_000_000;
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void upgradesKeepJobsDrainsAndOverrides(long seed) throws Exception {
    Random random = new Random(seed);
    TestConfiguration configuration =
        new TestConfiguration().knownListUnconfirmed().discoveryPollIntervalSeconds(10);
    try (DispatcherProcess program = DispatcherProcess.supervised(WORKER_COUNT, configuration)) {
      ListService lists =
          new ListService(program.discovery(), KNOWN_VERSION, v -> list(program, v));
      for (int i = 0; i < WORKER_COUNT; i++) {
        startWorker(program, i);
      }
      program.awaitReadiness(0);
      for (int i = 0; i < CLIENT_COUNT; i++) {
        startClient(program, i % 2 == 0);
      }
      for (int round = 0; round < UPGRADE_COUNT; round++) {
        upgrade(program, lists, round, random);
      }
      running = false;
      assertEquals(
          List.of(),
          violations.stream().limit(MAX_LISTED_VIOLATIONS).toList(),
          violations.size() + " violations, seed " + seed);
      assertTrue(servedJobs.get() > 0, "at least one job was served");
    }
  }

  /** Returns the complete endpoint list with this version, which includes the draining workers. */
  private EndpointList list(DispatcherProcess program, int version) {
    Health[] health = new Health[WORKER_COUNT];
    for (int i = 0; i < WORKER_COUNT; i++) {
      health[i] = drainedAtMillis.containsKey(i) ? Health.DRAINING : Health.SERVING;
    }
    return program.endpointList(version, Extent.COMPLETE, health);
  }

  /**
   * Drains a worker and waits for {@link #MAX_SEND_AFTER_DRAIN_MILLIS}. From then on, no process
   * may send jobs to the worker. This also holds for the new process, which starts after the wait.
   * Then the new process replaces the old one. Operators change overrides before, during and after
   * the upgrade. At the end, the drain of the worker is stopped.
   */
  private void upgrade(DispatcherProcess program, ListService lists, int oldInstance, Random random)
      throws Exception {
    int drained = random.nextInt(WORKER_COUNT);
    drainedAtMillis.put(drained, nowMillis());
    lists.changed();
    while (nowMillis() < drainedAtMillis.get(drained) + MAX_SEND_AFTER_DRAIN_MILLIS) {
      changeRandomOverride(program, oldInstance, random);
      Thread.sleep(random.nextInt(1000));
    }
    program.startSuccessor();
    for (int i = random.nextInt(6); i >= 0; i--) {
      changeRandomOverride(program, oldInstance + random.nextInt(2), random);
    }
    assertOverridesAgree(program, oldInstance, oldInstance + 1);
    program.instance(oldInstance).destroy();
    changeRandomOverride(program, oldInstance + 1, random);
    program.awaitExit(oldInstance);
    drainedAtMillis.remove(drained);
    lists.changed();
  }

  /** Disables or enables one of the first two workers. The others stay enabled to serve jobs. */
  private static void changeRandomOverride(DispatcherProcess program, int instance, Random random)
      throws IOException {
    String worker = "w" + random.nextInt(2);
    int status =
        random.nextBoolean()
            ? program.disableWorker(instance, worker)
            : program.enableWorker(instance, worker);
    assertEquals(200, status);
  }

  /**
   * Waits until the old process counts as many disabled workers as the stored file lists. Then
   * waits for the same in the new process, and checks the old process once more.
   */
  private void assertOverridesAgree(DispatcherProcess program, int oldInstance, int newInstance)
      throws Exception {
    for (int instance : new int[] {oldInstance, newInstance}) {
      program.awaitStatistic(instance, "hosts_down", storedOverrideCount(program));
    }
    assertEquals(storedOverrideCount(program), program.statistic(oldInstance, "hosts_down"));
  }

  /** Returns the number of stored overrides. The file has one line for each override. */
  private static int storedOverrideCount(DispatcherProcess program) throws IOException {
    return (int) Files.readString(program.temporaryDirectory().resolve("n0.state")).lines().count();
  }

  /** Starts a thread that serves the requests of a worker until the test ends. */
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

  /**
   * Serves a request as a worker. Records a violation if the worker has been draining for too long
   * to get a job, or if a job that must not run twice arrives for the second time.
   */
  private void serve(DispatcherProcess program, int index, HttpMessage request) throws IOException {
    if (!request.startLine().startsWith("POST")) {
      request.respond(200, "");
      return;
    }
    String id = request.header("X-Call-Id");
    Long drained = drainedAtMillis.get(index);
    if (drained != null && nowMillis() > drained + MAX_SEND_AFTER_DRAIN_MILLIS) {
      violations.add(
          "drain: " + id + " to w" + index + " after " + (nowMillis() - drained) + " ms");
    }
    boolean isNonIdempotent = request.startLine().startsWith("POST /issue");
    int runs = runsByJobId.computeIfAbsent(id, i -> new AtomicInteger()).incrementAndGet();
    if (isNonIdempotent && runs > 1) {
      violations.add("duplicate: " + id);
    }
    request.respond(202, "");
    program.reportDone(id, "w" + index, id);
  }

  /**
   * Starts a client that submits one job after the other until the test ends.
   *
   * @param keepsConnection whether the client reuses a connection until the dispatcher closes it;
   *     if false, the client uses a new connection for each job
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

  /**
   * Submits a job and checks the response. If the connection is closed before the response arrives,
   * submits another job on a new connection. If the second connection is closed too, records a
   * violation, unless the test has ended.
   *
   * @return the connection for the next job
   */
  private Socket submit(DispatcherProcess program, Socket connection, String path)
      throws IOException {
    Socket current = connection;
    for (int attempt = 0; attempt < 2; attempt++) {
      try {
        SubmittedJob job = program.submit(current, path, DEADLINE_MILLIS, "");
        HttpMessage response = job.response();
        if (response != null) {
          checkResponse(job, response);
          boolean closes = "close".equals(response.header("Connection"));
          return closes ? program.connect() : current;
        }
      } catch (IOException e) {
        // The dispatcher closed the connection while the request was sent. Another job is
        // submitted on a new connection.
      }
      current.close();
      current = program.connect();
    }
    if (running) {
      violations.add("lost: a job got no answer on two connections");
    }
    return current;
  }

  /**
   * Counts a job as served if the response has status 200 and the job's own id as the result.
   * Records a violation for any other response, unless the status is 503 or 429.
   */
  private void checkResponse(SubmittedJob job, HttpMessage response) {
    if (response.status() == 200 && response.body().equals(job.id())) {
      servedJobs.incrementAndGet();
    } else if (response.status() != 503 && response.status() != 429) {
      violations.add("answer " + response.status() + " " + response.body() + " to " + job.id());
    }
  }
}
