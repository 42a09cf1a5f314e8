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
 * w0, w1 and so on, and client connections. Each subclass starts the dispatcher in its own way.
 */
public abstract class DispatcherHarness implements AutoCloseable {
  /**
   * The request line and the Host header of a readiness check. {@link HttpIo#withBody} adds the
   * Content-Length header and the empty line.
   */
  public static final String READINESS_HEAD = "GET /health/ready HTTP/1.1\r\nHost: x\r\n";

  /**
   * The request line and the Host header of a status update, with which a worker reports the state
   * of a job. {@link HttpIo#withBody} adds the Content-Length header and the empty line.
   */
  public static final String STATUS_UPDATE_HEAD = "POST /_jobs/news HTTP/1.1\r\nHost: x\r\n";

  /** The deadline, in milliseconds, of jobs for which a test specifies no deadline. */
  public static final int DEADLINE_MILLIS = 20_000;

  /** The version of the initial endpoint list, which is part of the dispatcher's configuration. */
  private static final int INITIAL_VERSION = 41;

  private static final AtomicInteger LAST_JOB_ID = new AtomicInteger();

  private StubHttpServer discovery = new StubHttpServer();
  private boolean confirmsInitialLists;
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
   * Replaces the stub discovery service by a new stub. The previous stub is not closed.
   *
   * @param port the port of the new stub; 0 for a free port. The port of a closed stub can be used
   *     again.
   */
  public final void restartDiscovery(int port) throws IOException {
    discovery = new StubHttpServer(port);
    discovery.confirmInitialLists(confirmsInitialLists);
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
   * Prepares the start of a dispatcher. The configuration specifies whether stub discovery confirms
   * the initial endpoint list, see {@link TestConfiguration#isInitialListConfirmed}. This method
   * sets stub discovery accordingly.
   *
   * @return a copy of the configuration, to which the address of stub discovery and the initial
   *     endpoint list are added
   */
  TestConfiguration prepareConfiguration(TestConfiguration configuration) {
    confirmsInitialLists = configuration.isInitialListConfirmed();
    discovery.confirmInitialLists(confirmsInitialLists);
    EndpointList initialList =
        endpointList(INITIAL_VERSION, Extent.COMPLETE, configuration.knownHealth());
    return configuration.copy().discoveryAddress(discovery.address()).initialEndpoints(initialList);
  }

  /**
   * Returns an endpoint list that contains all stub workers.
   *
   * @param health the health of w0, w1 and so on. If there are more workers than values, the last
   *     value applies to the remaining workers.
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

  /** Submits a job again, on a new connection and with the same id. */
  public SubmittedJob submitAgain(SubmittedJob job, String path) throws IOException {
    Socket connection = connect();
    HttpIo.write(connection, jobRequest(path, job.id(), DEADLINE_MILLIS, "", ""));
    return new SubmittedJob(job.id(), connection);
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
   * @param deadlineMillis the deadline of the job in milliseconds, which is sent in the X-Budget-Ms
   *     header
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

  /**
   * Returns the JSON member {@code result}, with a leading comma. A worker adds this member to the
   * status update of a completed job.
   */
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
   * Sends a worker's status update, which reports that a job is completed, on a new connection.
   *
   * @return the status code of the response
   */
  public int reportDone(String jobId, String worker, String result) throws IOException {
    return reportStatus(jobId, worker, "done", result(result));
  }

  /**
   * Sends a request on a new connection and reads the response.
   *
   * @param head the request line and the headers, each followed by CR LF. The head contains neither
   *     the Content-Length header nor the empty line after the headers; this method adds both.
   */
  public HttpMessage request(String head, String body) throws IOException {
    try (Socket connection = connect()) {
      HttpIo.write(connection, HttpIo.withBody(head, body));
      return HttpIo.read(connection);
    }
  }

  /**
   * Makes a readiness check on the port on which the dispatcher accepts clients.
   *
   * @return the status code of the response
   */
  public int readinessStatus() throws IOException {
    return request(READINESS_HEAD, "").status();
  }

  /**
   * Waits for the next request to a stub worker and responds with status 202, which means that the
   * worker accepts the job. Reports the job as completed, and asserts that the dispatcher responds
   * to the report with status 200.
   *
   * @param worker the index of the worker
   * @param result the result of the job
   */
  public void serveNextJob(int worker, String result) throws Exception {
    HttpMessage post = workers.get(worker).nextRequest();
    post.respond(202, "");
    assertEquals(200, reportDone(post.header("X-Call-Id"), "w" + worker, result));
  }

  /**
   * Submits jobs one after the other, and completes each job as a stub worker. Asserts that the
   * dispatcher sends all of these jobs to this worker. The harness must have exactly two workers.
   *
   * @param worker the index of the worker that is expected to receive the jobs
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
   * Waits until the queue of at least one stub worker contains a request. The request stays in the
   * queue. There is no timeout.
   *
   * @return the lowest index of a worker whose queue contains a request
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
