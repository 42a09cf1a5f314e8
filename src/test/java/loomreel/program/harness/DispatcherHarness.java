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
 * The surroundings of a dispatcher under test: stub discovery, stub workers named w0, w1 and so on,
 * and clients.
 */
public abstract class DispatcherHarness implements AutoCloseable {
  /** The head of a readiness check, without its Content-Length. */
  public static final String READINESS_HEAD = "GET /health/ready HTTP/1.1\r\nHost: x\r\n";

  /** The head of a worker's status update, without its Content-Length. */
  public static final String STATUS_UPDATE_HEAD = "POST /_jobs/news HTTP/1.1\r\nHost: x\r\n";

  /** The deadline of jobs that name none of their own. */
  public static final int DEADLINE_MILLIS = 20_000;

  /** The sequence number of the endpoint list that is known at the start. */
  private static final int KNOWN_SEQUENCE = 41;

  private static final AtomicInteger JOB_IDS = new AtomicInteger();

  private StubHttpServer discovery = new StubHttpServer();
  private boolean confirmsKnownLists;
  private final List<StubHttpServer> workers = new ArrayList<>();

  /** Starts stub discovery and stub workers. */
  DispatcherHarness(int workerCount) throws IOException {
    for (int i = 0; i < workerCount; i++) {
      workers.add(new StubHttpServer());
    }
  }

  /** The port on which the dispatcher accepts clients. */
  public abstract int port();

  /** The stub discovery service. */
  public final StubHttpServer discovery() {
    return discovery;
  }

  /** Replaces discovery by a stub at a port, which the closed one may have used; 0 for any. */
  public final void restartDiscovery(int port) throws IOException {
    discovery = new StubHttpServer(port);
    discovery.confirmKnownLists(confirmsKnownLists);
  }

  /** A stub worker. */
  public final StubHttpServer worker(int index) {
    return workers.get(index);
  }

  /** The stub workers. */
  public final List<StubHttpServer> workers() {
    return Collections.unmodifiableList(workers);
  }

  /** Replaces a worker by a stub at another address; the previous one, which stays open. */
  public final StubHttpServer replaceWorker(int index) throws IOException {
    return workers.set(index, new StubHttpServer());
  }

  /** A copy of a configuration with discovery and the endpoint list that is known at the start. */
  TestConfiguration complete(TestConfiguration configuration) {
    confirmsKnownLists = configuration.isKnownListConfirmed();
    discovery.confirmKnownLists(confirmsKnownLists);
    EndpointList known = endpointList(KNOWN_SEQUENCE, Extent.COMPLETE, configuration.knownHealth());
    return configuration.copy().discoveryAddress(discovery.address()).knownEndpoints(known);
  }

  /** A list of all workers; the last health that is given holds for all further workers too. */
  public EndpointList endpointList(int sequence, Extent extent, Health... health) {
    EndpointList list = new EndpointList(sequence, extent);
    for (int i = 0; i < workers.size(); i++) {
      Health ofWorker = health[Math.min(i, health.length - 1)];
      list.with("w" + i, workers.get(i).address(), ofWorker);
    }
    return list;
  }

  /** Connects as a client. */
  public Socket connect() throws IOException {
    return HttpIo.connect(port());
  }

  /** Sends a job on a connection of its own. */
  public SubmittedJob submit(String path, String body) throws IOException {
    return submit(connect(), path, DEADLINE_MILLIS, body);
  }

  /** Sends a job with a deadline on this connection. */
  public SubmittedJob submit(Socket connection, String path, int deadlineMillis, String body)
      throws IOException {
    return submit(connection, path, deadlineMillis, "", body);
  }

  /** Sends a job with an idempotency key on a connection of its own. */
  public SubmittedJob submitWithKey(String path, String key) throws IOException {
    return submit(connect(), path, DEADLINE_MILLIS, "Idempotency-Key: " + key + "\r\n", "");
  }

  private static SubmittedJob submit(
      Socket connection, String path, int deadlineMillis, String headers, String body)
      throws IOException {
    String id = String.format("%016x", JOB_IDS.incrementAndGet());
    HttpIo.write(connection, jobRequest(path, id, deadlineMillis, headers, body));
    return new SubmittedJob(id, connection);
  }

  /** The bytes of a job; {@code headers} are complete lines. */
  public static String jobRequest(
      String path, String id, int deadlineMillis, String headers, String body) {
    String head = "POST " + path + " HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\n";
    return HttpIo.withBody(head + "X-Budget-Ms: " + deadlineMillis + "\r\n" + headers, body);
  }

  /** The body of a worker's status update; {@code members} are further JSON members. */
  public static String statusUpdate(String jobId, String worker, String state, String members) {
    return "{\"id\":\"%s\",\"from\":\"%s\",\"state\":\"%s\"%s}"
        .formatted(jobId, worker, state, members);
  }

  /** The JSON member with the result of a job that is done. */
  public static String result(String result) {
    return ",\"result\":\"" + result + "\"";
  }

  /** Sends a worker's status update; the status of the response. */
  public int reportStatus(String jobId, String worker, String state, String members)
      throws IOException {
    return request(STATUS_UPDATE_HEAD, statusUpdate(jobId, worker, state, members)).status();
  }

  /** Sends a status update that the job is done; the status of the response. */
  public int reportDone(String jobId, String worker, String result) throws IOException {
    return reportStatus(jobId, worker, "done", result(result));
  }

  /** Sends a request on a connection of its own; {@code head} lacks its Content-Length. */
  public HttpMessage request(String head, String body) throws IOException {
    try (Socket connection = connect()) {
      HttpIo.write(connection, HttpIo.withBody(head, body));
      return HttpIo.read(connection);
    }
  }

  /** The status of the readiness check for clients. */
  public int readinessStatus() throws IOException {
    return request(READINESS_HEAD, "").status();
  }

  /** Waits for the next job at a worker, and has the worker accept and complete it. */
  public void serveNextJob(int worker, String result) throws Exception {
    HttpMessage post = workers.get(worker).nextRequest();
    post.respond(202, "");
    assertEquals(200, reportDone(post.header("X-Call-Id"), "w" + worker, result));
  }

  /** Submits jobs one after the other, and checks that this one of two workers gets them all. */
  public void assertAllServedBy(int worker, int jobs) throws Exception {
    for (int i = 0; i < jobs; i++) {
      SubmittedJob job = submit("/copy", "");
      serveNextJob(worker, "r");
      assertEquals("r", job.response().body());
    }
    assertFalse(workers.get(1 - worker).hasPendingRequest());
  }

  /** Waits until a worker has a request that the test has not taken; the worker's index. */
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
