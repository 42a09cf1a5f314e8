package loomreel.program.harness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import loomreel.program.harness.EndpointList.Extent;
import loomreel.program.harness.EndpointList.Health;

/**
 * The environment of a dispatcher under test: a stub discovery service, stub workers with the names
 * w0, w1 and so on, and client connections. A subclass starts the dispatcher itself.
 */
public abstract class DispatcherHarness implements AutoCloseable {
  /** The head of a readiness check, without the Content-Length header and the empty line. */
  public static final String READINESS_HEAD = "GET /health/ready HTTP/1.1\r\nHost: x\r\n";

  /**
   * The head of a worker's status update, without the Content-Length header and the empty line.
   */
  public static final String STATUS_UPDATE_HEAD = "POST /_jobs/news HTTP/1.1\r\nHost: x\r\n";

  /** The deadline, in milliseconds, of jobs that are submitted without an explicit deadline. */
  public static final int DEADLINE_MILLIS = 20_000;

  /** The version of the initial endpoint list, which is part of the configuration. */
  private static final int INITIAL_VERSION = 41;

  private static final AtomicInteger LAST_JOB_ID = new AtomicInteger();

  private StubHttpServer discovery = new StubHttpServer();
  private boolean confirmsKnownLists;
  private final List<StubHttpServer> workers = new ArrayList<>();

  /** Starts the stub discovery service and {@code workerCount} stub workers. */
  DispatcherHarness(int workerCount) throws IOException {
    for (int i = 0; i < workerCount; i++) {
      workers.add(new StubHttpServer());
    }
  }

  /** Returns the port on which the dispatcher accepts clients. */
  public abstract int port();

  /** Returns the current stub discovery service. */
  public final StubHttpServer discovery() {
    return discovery;
  }

  /**
   * Replaces the stub discovery service by a new one. The previous stub is not closed.
   *
   * @param port the port of the new stub, which a closed stub may have used; 0 for a free port
   */
  public final void restartDiscovery(int port) throws IOException {
    discovery = new StubHttpServer(port);
    discovery.confirmKnownLists(confirmsKnownLists);
  }

  /** Returns the stub worker with this index; the worker's name is w followed by the index. */
  public final StubHttpServer worker(int index) {
    return workers.get(index);
  }

  /** Returns an unmodifiable view of the stub workers, ordered by index. */
  public final List<StubHttpServer> workers() {
    return Collections.unmodifiableList(workers);
  }

  /**
   * Replaces a stub worker by a new one at another address.
   *
   * @return the previous stub worker, which stays open
   */
  public final StubHttpServer replaceWorker(int index) throws IOException {
    return workers.set(index, new StubHttpServer());
  }

  /**
   * Returns a copy of a configuration, completed with the address of stub discovery and the initial
   * endpoint list. Also sets whether stub discovery confirms the dispatcher's endpoint list.
   */
  TestConfiguration prepareConfiguration(TestConfiguration configuration) {
    confirmsKnownLists = configuration.isKnownListConfirmed();
    discovery.confirmKnownLists(confirmsKnownLists);
    EndpointList initialList =
        endpointList(INITIAL_VERSION, Extent.COMPLETE, configuration.knownHealth());
    return configuration.copy().discoveryAddress(discovery.address()).initialEndpoints(initialList);
  }

  /**
   * Returns an endpoint list with all stub workers.
   *
   * @param health the health of w0, w1 and so on; the last value also applies to the remaining
   *     workers
   */
  public EndpointList endpointList(int version, Extent extent, Health... health) {
    EndpointList list = new EndpointList(version, extent);
    for (int i = 0; i < workers.size(); i++) {
      Health workerHealth = health[Math.min(i, health.length - 1)];
      list.with("w" + i, workers.get(i).address(), workerHealth);
    }
    return list;
  }

  /** Opens a client connection to the dispatcher. */
  public Socket connect() throws IOException {
    return HttpIo.connect(port());
  }

  /** Submits a job on a new connection, with a deadline of {@link #DEADLINE_MILLIS}. */
  public SubmittedJob submit(String path, String body) throws IOException {
    return submit(connect(), path, DEADLINE_MILLIS, body);
  }

  /** Submits a job on an open connection. */
  public SubmittedJob submit(Socket connection, String path, int deadlineMillis, String body)
      throws IOException {
    return submit(connection, path, deadlineMillis, "", body);
  }

  /**
   * Submits a job with an idempotency key and an empty body on a new connection, with a deadline of
   * {@link #DEADLINE_MILLIS}.
   */
  public SubmittedJob submitWithKey(String path, String key) throws IOException {
    return submit(connect(), path, DEADLINE_MILLIS, "Idempotency-Key: " + key + "\r\n", "");
  }

  private static SubmittedJob submit(
      Socket connection, String path, int deadlineMillis, String headers, String body)
      throws IOException {
    String id = String.format("%016x", LAST_JOB_ID.incrementAndGet());
    HttpIo.write(connection, jobRequest(path, id, deadlineMillis, headers, body));
    return new SubmittedJob(id, connection);
  }

  /**
   * Returns the text of a request that submits a job.
   *
   * @param path the path, whose first segment is the request class
   * @param id the value of the X-Call-Id header
   * @param headers further headers, each a line with its line break; may be empty
   */
  public static String jobRequest(
      String path, String id, int deadlineMillis, String headers, String body) {
    String head = "POST " + path + " HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\n";
    return HttpIo.withBody(head + "X-Budget-Ms: " + deadlineMillis + "\r\n" + headers, body);
  }

  /**
   * Returns the JSON body of a worker's status update.
   *
   * @param members further JSON members, each with a leading comma; may be empty
   */
  public static String statusUpdate(String jobId, String worker, String state, String members) {
    return "{\"id\":\"%s\",\"from\":\"%s\",\"state\":\"%s\"%s}"
        .formatted(jobId, worker, state, members);
  }

  /** Returns the JSON member with the result of a completed job, with a leading comma. */
  public static String result(String result) {
    return ",\"result\":\"" + result + "\"";
  }

  /**
   * Sends a worker's status update on a new connection.
   *
   * @param members further JSON members, each with a leading comma; may be empty
   * @return the status code of the response
   */
  public int reportStatus(String jobId, String worker, String state, String members)
      throws IOException {
    return request(STATUS_UPDATE_HEAD, statusUpdate(jobId, worker, state, members)).status();
  }

  /**
   * Sends a worker's status update with the result of a completed job.
   *
   * @return the status code of the response
   */
  public int reportDone(String jobId, String worker, String result) throws IOException {
    return reportStatus(jobId, worker, "done", result(result));
  }

  /**
   * Sends a request on a new connection and reads the response.
   *
   * @param head the request line and headers, without Content-Length and the empty line
   */
  public HttpMessage request(String head, String body) throws IOException {
    try (Socket connection = connect()) {
      HttpIo.write(connection, HttpIo.withBody(head, body));
      return HttpIo.read(connection);
    }
  }

  /** Makes a readiness check on the clients' port and returns the status code of the response. */
  public int readinessStatus() throws IOException {
    return request(READINESS_HEAD, "").status();
  }

  /**
   * Waits for the next request to a stub worker, responds with status 202 (the worker accepts the
   * job), and reports the job as completed.
   *
   * @param worker the index of the worker
   */
  public void serveNextJob(int worker, String result) throws Exception {
    HttpMessage post = workers.get(worker).nextRequest();
    post.respond(202, "");
    assertEquals(200, reportDone(post.header("X-Call-Id"), "w" + worker, result));
  }

  /**
   * Submits jobs one after the other and asserts that all of them are sent to the same worker. The
   * harness must have exactly two workers.
   *
   * @param worker the index of this worker
   * @param jobCount the number of jobs
   */
  public void assertAllServedBy(int worker, int jobCount) throws Exception {
    for (int i = 0; i < jobCount; i++) {
      SubmittedJob job = submit("/copy", "");
      serveNextJob(worker, "r");
      assertEquals("r", job.response().body());
    }
    assertFalse(workers.get(1 - worker).hasPendingRequest());
  }

  /**
   * Waits until a stub worker has a request in its queue. There is no timeout.
   *
   * @return the index of the worker
   */
  public int awaitWorkerWithRequest() throws InterruptedException {
    while (true) {
      for (int i = 0; i < workers.size(); i++) {
        if (workers.get(i).hasPendingRequest()) {
          return i;
        }
      }
      Thread.sleep(1);
    }
  }

  @Override
  public void close() throws IOException {
    discovery.close();
    for (StubHttpServer worker : workers) {
      worker.close();
    }
  }
}
