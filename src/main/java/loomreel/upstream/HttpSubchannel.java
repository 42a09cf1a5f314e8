package loomreel.upstream;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import loomreel.core.CallAttempt;
import loomreel.core.Dispatcher;
import loomreel.core.Rpc;
import loomreel.core.Subchannel;
import loomreel.decision.AttemptOutcome;
import loomreel.decision.Endpoint;
import loomreel.http.ConnectionPool;
import loomreel.http.HttpExchange;
import loomreel.http.HttpHeaders;
import loomreel.http.HttpMessage;
import loomreel.http.HttpStatus;
import loomreel.http.JobHeader;
import loomreel.io.ByteQueue;
import loomreel.io.RateLimitedLogger;

/**
 * A worker that is called over HTTP, and the requests that it understands.
 *
 * <p>Owned by {@link HttpWorkerPool}; it owns the connection pool of its worker.
 */
final class HttpSubchannel implements Subchannel {
  /** The time limit of a health check or cancellation, in connect timeouts. */
  private static final int SHORT_CALL_TIMEOUT_FACTOR = 2;

  private static final long MICROS_PER_MILLI = 1000;
  private static final String JOBS_PATH = "/jobs/";
  private static final String LOAD_PATH = "/stats";

  private final Dispatcher dispatcher;
  private final RateLimitedLogger log;
  private final ConnectionPool pool;
  private final ReachabilityListener reachability;
  private final long shortCallTimeoutMicros;
  private Endpoint endpoint;

  HttpSubchannel(
      Dispatcher dispatcher,
      Endpoint endpoint,
      ConnectionPool pool,
      RateLimitedLogger log,
      ReachabilityListener reachability) {
    this.dispatcher = dispatcher;
    this.endpoint = endpoint;
    this.pool = pool;
    this.log = log;
    this.reachability = reachability;
    this.shortCallTimeoutMicros = SHORT_CALL_TIMEOUT_FACTOR * pool.connectTimeout();
  }

  /**
   * Sets the latest entry of the endpoint list. After a move or restart of the worker, old
   * connections are not used any more: a new process knows nothing of them.
   */
  void update(InetSocketAddress address, Endpoint latest) {
    if (!address.equals(pool.address()) || latest.startedAt() != endpoint.startedAt()) {
      pool.moveTo(address);
    }
    endpoint = latest;
  }

  /** The latest entry of the endpoint list. */
  @Override
  public Endpoint endpoint() {
    return endpoint;
  }

  /**
   * The worker was removed from the endpoint list: calls in flight may end, idle connections close.
   */
  void retire() {
    pool.moveTo(pool.address());
  }

  /** Closes the connections that have been idle for too long. */
  void closeStale() {
    pool.closeStale();
  }

  /** What is notified whether this worker can be reached. */
  ReachabilityListener reachability() {
    return reachability;
  }

  @Override
  public ActiveCall start(CallAttempt attempt) {
    if (!attempt.mayStart()) {
      attempt.end(AttemptOutcome.REJECTED, null);
      return null;
    }
    Rpc rpc = attempt.rpc();
    ByteQueue request = request("POST", rpc.target(), rpc.body().length(), jobHeaders(attempt));
    request.append(rpc.body());
    JobCall call = new JobCall(this, attempt);
    call.setConnection(pool.call(request, call));
    return call;
  }

  private static String[] jobHeaders(CallAttempt attempt) {
    Rpc rpc = attempt.rpc();
    long budgetMillis = Math.max(1, (attempt.deadline() - attempt.sentAt()) / MICROS_PER_MILLI);
    List<String> headers = new ArrayList<>();
    headers.add(JobHeader.CALL_ID.line(rpc.id()));
    headers.add(JobHeader.BUDGET_MILLIS.line(budgetMillis));
    if (rpc.contentType() != null) {
      headers.add("Content-Type: " + rpc.contentType());
    }
    if (rpc.idempotencyKey() != null) {
      headers.add(JobHeader.IDEMPOTENCY_KEY.line(rpc.idempotencyKey()));
    }
    return headers.toArray(String[]::new);
  }

  /** Requests the end of a job; the attempt has ended here, so the response does not matter. */
  void cancelJob(String callId) {
    pool.call(request("DELETE", JOBS_PATH + callId, 0), new ShortCall());
  }

  @Override
  public void checkHealth() {
    pool.call(request("GET", LOAD_PATH, 0), new HealthCheck());
  }

  /** Checks whether the worker can be reached; only the reachability listener is notified. */
  void checkReachability() {
    pool.call(request("GET", LOAD_PATH, 0), new ReachabilityCheck());
  }

  /**
   * A call has ended without a response. A reset does not mean that the worker is unreachable: it
   * is sent by a running host.
   */
  void reportFailure(AttemptOutcome outcome) {
    if (outcome == AttemptOutcome.CONNECT_FAILED || outcome == AttemptOutcome.TIMEOUT) {
      reachability.unreachable();
    }
  }

  void logUnexpectedStatus(int status) {
    log.warn("unexpected job response " + this + " status=" + status);
  }

  private ByteQueue request(String method, String target, int length, String... headers) {
    ByteQueue request = new ByteQueue(dispatcher.loop().pool());
    request.append(HttpHeaders.request(method, target, hostAndPort(), length, headers));
    return request;
  }

  private String hostAndPort() {
    return pool.address().getHostString() + ":" + pool.address().getPort();
  }

  @Override
  public String toString() {
    return "worker=" + endpoint.id() + " address=" + hostAndPort();
  }

  /** A call with a short time limit, whose outcome does not matter unless overridden. */
  private class ShortCall implements HttpExchange {
    private final long deadline = dispatcher.loop().now() + shortCallTimeoutMicros;

    @Override
    public long deadline() {
      return deadline;
    }

    @Override
    public void responseReceived(HttpMessage message) {}

    @Override
    public void failed(AttemptOutcome outcome) {}
  }

  /** A call whose response, or lack of one, shows whether the worker can be reached. */
  private class ReachabilityCheck extends ShortCall {
    @Override
    public void responseReceived(HttpMessage message) {
      reachability.reachable();
    }

    @Override
    public void failed(AttemptOutcome outcome) {
      reportFailure(outcome);
    }
  }

  /** A call whose response has the worker's load. */
  private final class HealthCheck extends ReachabilityCheck {
    private final long sentAt = dispatcher.loop().now();

    @Override
    public void responseReceived(HttpMessage message) {
      super.responseReceived(message);
      if (message.status() != HttpStatus.OK) {
        dispatcher.healthChecked(endpoint.id(), AttemptOutcome.ERROR, sentAt, null);
        return;
      }
      String header = JobHeader.LOAD_REPORT.valueIn(message);
      String load =
          header != null ? header : new String(message.body().toArray(), StandardCharsets.UTF_8);
      dispatcher.healthChecked(
          endpoint.id(), AttemptOutcome.OK, sentAt, LoadReport.parse(load).orElse(null));
    }

    @Override
    public void failed(AttemptOutcome outcome) {
      super.failed(outcome);
      dispatcher.healthChecked(endpoint.id(), outcome, sentAt, null);
    }
  }
}
